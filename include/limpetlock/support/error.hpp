/// \file
/// Errors of all layers: an enumerator of the layer and a reason as text.
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace limpetlock {

/// An error of one layer. Errc is that layer's enumeration.
template <typename Errc>
struct basic_error {
    Errc code{};
    std::string reason;

    friend bool operator==(const basic_error&, const basic_error&) = default;
};

/// Holds the last error of functions that return std::optional.
template <typename Errc>
class error_slot {
public:
    /// Stores an error and returns nullopt, so that a function can end with `return last.fail(...)`.
    std::nullopt_t fail(Errc code, std::string reason)
    {
        last_ = {code, std::move(reason)};
        return std::nullopt;
    }

    const basic_error<Errc>& last() const { return last_; }

private:
    basic_error<Errc> last_;
};

} // namespace limpetlock
