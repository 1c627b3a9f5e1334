/// Body types for Beast's messages and parsers, over the bodies of `base/message_body.hpp`.
#pragma once

#include "base/message_body.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <utility>

namespace caraway {

/// Of a message that is being read.
struct received_body {
    using value_type = body_builder;

    class reader {
    public:
        template <bool is_request, typename Fields>
        reader(boost::beast::http::header<is_request, Fields>&, value_type& value) : body(value) {}

        void init(boost::optional<std::uint64_t> const& length, boost::beast::error_code& error) {
            error = {};
            this->body.expect(length ? static_cast<std::size_t>(*length) : 0);
        }
        template <typename Buffers>
        std::size_t put(Buffers const& buffers, boost::beast::error_code& error) {
            error = {};
            std::size_t taken = 0;
            for (auto const part : boost::beast::buffers_range_ref(buffers)) {
                if (!this->body.append({static_cast<char const*>(part.data()), part.size()})) {
                    error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
                    return taken;
                }
                taken += part.size();
            }
            return taken;
        }
        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body;
    };
};

/// Of a message that is being written.
struct shared_body {
    using value_type = message_body;

    static std::uint64_t size(value_type const& value) { return value.size(); }

    class writer {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool is_request, typename Fields>
        writer(boost::beast::http::header<is_request, Fields> const&, value_type const& value)
            : body(value) {}

        void init(boost::beast::error_code& error) { error = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& error) {
            error = {};
            auto const bytes = this->body.view();
            return {{const_buffers_type(bytes.data(), bytes.size()), false}};
        }

    private:
        value_type const& body;
    };
};

} // namespace caraway
