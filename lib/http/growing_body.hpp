/// \file
/// Body of a message that is kept in a string.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace limpetlock::http {

/// Grows with the bytes that arrive. Beast's string_body allocates the announced length before the first byte
/// of the body, so one header could exhaust the memory.
struct growing_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool is_request, typename Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*head*/, value_type& body) : body_(body)
        {
        }

        // The names and parameters are those of Beast's BodyReader.
        void init(const boost::optional<std::uint64_t>& /*announced*/, boost::system::error_code& ec)
        {
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const auto it : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(it.data()), it.size());
                n += it.size();
            }
            return n;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

} // namespace limpetlock::http
