#include <limpetlock/support/compression.hpp>

#include <zlib.h>

#include <algorithm>
#include <stdexcept>

namespace limpetlock {

namespace {

const Bytef* bytes_of(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data()); // NOLINT
}

Bytef* bytes_of(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data()); // NOLINT
}

} // namespace

std::string compress(std::string_view text)
{
    std::string out(compressBound(text.size()), '\0');
    uLongf n = out.size();
    if (compress2(bytes_of(out), &n, bytes_of(text), text.size(), Z_BEST_SPEED) != Z_OK)
        throw std::runtime_error("zlib can't compress");
    out.resize(n);
    return out;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes)
{
    // A text is rarely longer than this multiple of its compressed form; the buffer grows if it is.
    constexpr std::size_t usual_ratio = 16;
    std::string out;
    for (std::size_t size = std::min(max_bytes, usual_ratio * bytes.size() + 64);;
         size = std::min(max_bytes, 2 * size)) {
        out.resize(size);
        uLongf n = size;
        const int result = uncompress(bytes_of(out), &n, bytes_of(bytes), bytes.size());
        if (result == Z_OK) {
            out.resize(n);
            return out;
        }
        if (result != Z_BUF_ERROR || size == max_bytes)
            return std::nullopt;
    }
}

} // namespace limpetlock
