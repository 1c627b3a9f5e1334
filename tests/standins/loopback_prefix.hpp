/// A block of loopback addresses that no other test of this machine uses at the same time.
#pragma once

#include "base/digest.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <stdexcept>
#include <string>

namespace caraway::standins {

class loopback_prefix {
public:
    loopback_prefix() {
        constexpr int max_draws = 10'000;
        for (int draw = 0; draw < max_draws; ++draw) {
            this->prefix = "127." + std::to_string(first_block + random_number() % block_count);
            if (this->try_claim()) {
                return;
            }
        }
        throw std::runtime_error("no block of loopback addresses is free");
    }

    /// "127.X".
    std::string const& text() const { return this->prefix; }

private:
    static constexpr int first_block = 16;
    static constexpr int block_count = 200;
    static constexpr std::uint16_t claim_port = 28'999;

    /// The socket keeps its address until this object or the process ends.
    bool try_claim() {
        boost::system::error_code error;
        this->claim = boost::asio::ip::udp::socket(this->context);
        this->claim.open(boost::asio::ip::udp::v4());
        this->claim.bind({boost::asio::ip::make_address(this->prefix + ".255.254"), claim_port}, error);
        return !error;
    }

    boost::asio::io_context context;
    boost::asio::ip::udp::socket claim{this->context};
    std::string prefix;
};

} // namespace caraway::standins
