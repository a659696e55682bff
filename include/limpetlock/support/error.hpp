/// \file
/// The shape of an error in every layer: an enumerator of that layer and a reason for people.
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace limpetlock {

/// An error of one layer. Errc is the enumeration of that layer.
template <typename Errc>
struct basic_error {
    Errc code{};
    std::string reason;

    friend bool operator==(const basic_error&, const basic_error&) = default;
};

/// Keeps the reason of the last failure of an object whose functions return std::optional.
template <typename Errc>
class error_slot {
public:
    /// Records an error and returns nullopt, so that a function can end with `return last.fail(...)`.
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
