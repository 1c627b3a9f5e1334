/// Classes of HTTP status codes (RFC 9110, section 15).
#pragma once

namespace caraway {

/// Whether a response with this status can be the answer to a request.
constexpr bool is_final_status(unsigned int status) {
    constexpr unsigned int first_final_status = 200;
    constexpr unsigned int last_final_status = 599;
    return status >= first_final_status && status <= last_final_status;
}

/// Whether a response with this status precedes the final one on its connection. Status 101 ends HTTP on it,
/// which no request of ours asks for.
constexpr bool is_interim_status(unsigned int status) {
    constexpr unsigned int interim_class = 1;
    constexpr unsigned int switching_protocols = 101;
    return status / 100 == interim_class && status != switching_protocols;
}

} // namespace caraway
