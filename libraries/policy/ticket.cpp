#include "policy/ticket.hpp"

#include "base/digest.hpp"

#include <string_view>

namespace caraway {

namespace {

constexpr std::size_t unique_id_bytes = 16;
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t integer_bytes = 8;
constexpr std::size_t fixed_bytes = unique_id_bytes + 3 * integer_bytes;
constexpr std::string_view mac_purpose = "ticket\n";

void append_integer(std::string& bytes, std::uint64_t value) {
    for (std::size_t index = 0; index < integer_bytes; ++index) {
        bytes.push_back(static_cast<char>((value >> (8 * index)) & 0xFFU));
    }
}

std::uint64_t read_integer(std::string_view bytes) {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < integer_bytes; ++index) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    }
    return value;
}

std::string mac_of(std::string const& secret, std::string_view bytes) {
    return hmac_sha256(secret, std::string(mac_purpose) + std::string(bytes)).substr(0, mac_bytes);
}

} // namespace

std::uint64_t ticket::binding_of(std::string const& organisation, std::string const& route) {
    return fast_hash(route, fast_hash(organisation));
}

ticket ticket::create(std::string host, std::uint64_t incarnation, std::uint64_t window,
                      std::uint64_t binding) {
    return {random_bytes(unique_id_bytes), std::move(host), incarnation, window, binding};
}

std::string ticket::to_text(std::string const& secret) const {
    std::string bytes = this->unique_id;
    append_integer(bytes, this->incarnation);
    append_integer(bytes, this->window);
    append_integer(bytes, this->binding);
    bytes += this->host;
    return to_hex(bytes + mac_of(secret, bytes));
}

result<ticket> ticket::parse(std::string const& text, std::string const& secret) {
    auto const bytes = from_hex(text);
    if (bytes.size() <= fixed_bytes + mac_bytes) {
        return fail({result_code::ticket_invalid, "The ticket is too short or not hexadecimal."});
    }
    std::string_view const content(bytes.data(), bytes.size() - mac_bytes);
    std::string_view const mac(bytes.data() + content.size(), mac_bytes);
    if (!equal_in_constant_time(mac, mac_of(secret, content))) {
        return fail({result_code::ticket_invalid, "The ticket was not made by this fleet."});
    }
    return ticket{std::string(content.substr(0, unique_id_bytes)), std::string(content.substr(fixed_bytes)),
                  read_integer(content.substr(unique_id_bytes)),
                  read_integer(content.substr(unique_id_bytes + integer_bytes)),
                  read_integer(content.substr(unique_id_bytes + 2 * integer_bytes))};
}

std::optional<ticket> ticket::try_parse(std::string const& text, std::string const& secret) {
    return attempt_or(
        [&]() -> result<std::optional<ticket>> {
            BOOST_LEAF_AUTO(value, ticket::parse(text, secret));
            return std::optional<ticket>(std::move(value));
        },
        [](problem const&) { return std::optional<ticket>{}; });
}

} // namespace caraway
