#include <limpetlock/gateway/event_framing.hpp>

#include <charconv>

namespace limpetlock::gateway {

void event_framing::discard_pending()
{
    buffer_.clear();
    scanned_ = 0;
    complete_ = 0;
    event_id_.reset();
    repeats_ = false;
    continued_after_ = last_event_id_;
}

std::string event_framing::take_complete()
{
    std::string out = buffer_.substr(0, complete_);
    buffer_.erase(0, complete_);
    scanned_ -= complete_;
    complete_ = 0;
    return out;
}

void event_framing::parse_line(std::string_view line)
{
    if (!line.starts_with("id:"))
        return;
    line.remove_prefix(3);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc{} && end == line.data() + line.size())
        event_id_ = id;
}

std::string event_framing::feed(std::string_view bytes)
{
    if (repeats_)
        return {};
    buffer_.append(bytes);
    std::size_t whole = 0;
    for (auto end = buffer_.find('\n', scanned_); end != std::string::npos;
         end = buffer_.find('\n', scanned_)) {
        std::string_view line(buffer_.data() + scanned_, end - scanned_);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        scanned_ = end + 1;
        if (!line.empty()) {
            parse_line(line);
            continue;
        }
        repeats_ = event_id_ && continued_after_ && *event_id_ <= *continued_after_;
        if (repeats_)
            break;
        complete_ = scanned_;
        if (event_id_ && (!last_event_id_ || *event_id_ > *last_event_id_)) {
            last_event_id_ = event_id_;
            whole = scanned_;
        }
        event_id_.reset();
    }
    std::string out = buffer_.substr(0, whole);
    buffer_.erase(0, whole);
    scanned_ -= whole;
    complete_ = complete_ > whole ? complete_ - whole : 0;
    return out;
}

} // namespace limpetlock::gateway
