#include "http/header_rules.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace caraway::header {

namespace {

constexpr auto private_names = std::to_array<std::string_view>({"Connection",
                                                                "Keep-Alive",
                                                                "Transfer-Encoding",
                                                                "TE",
                                                                "Trailer",
                                                                "Upgrade",
                                                                "Proxy-Authorization",
                                                                "Proxy-Authenticate",
                                                                "Proxy-Connection",
                                                                "Content-Length",
                                                                "Host",
                                                                "Expect",
                                                                "Authorization",
                                                                "Cookie",
                                                                "X-Api-Key",
                                                                request_id,
                                                                timeout,
                                                                context,
                                                                deadline,
                                                                result_outcome,
                                                                result_code,
                                                                idempotency_key,
                                                                traceparent});

} // namespace

bool is_private(std::string_view name) {
    return std::ranges::any_of(private_names,
                               [name](std::string_view entry) { return boost::beast::iequals(name, entry); });
}

} // namespace caraway::header
