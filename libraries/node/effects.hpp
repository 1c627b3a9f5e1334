/// The effects that `node_core` requests. It has no side effects of its own; the runtime executes these on
/// the other threads.
#pragma once

#include "config/bundle.hpp"
#include "http/http_listener.hpp"
#include "http/target_client.hpp"
#include "link/link_event.hpp"
#include "link/message.hpp"
#include "telemetry/log.hpp"
#include "telemetry/span.hpp"

#include <string>
#include <vector>

namespace caraway {

struct outgoing_message {
    connection_id connection{0};
    message content;
};

/// The core assigns the ids of the connections that it dials; the links assign those of accepted ones.
struct dial_request {
    connection_id connection{0};
    std::string address;
};

/// A complete document that is to be checked on another thread than the core's.
struct document_check_request {
    document_kind document{document_kind::configuration};
    std::uint64_t revision{0};
    bundle content;
};

struct effects {
    std::vector<outgoing_message> messages;
    std::vector<dial_request> dials;
    std::vector<connection_id> closes;
    std::vector<listener_answer> caller_answers;
    std::vector<listener_answer> egress_answers;
    std::vector<target_request> target_requests;
    std::vector<std::uint64_t> target_cancels;
    std::vector<document_check_request> document_checks;
    std::vector<span> spans;
    std::vector<log_entry> logs;

    void log(log_level level, std::string event, header_list fields = {}) {
        this->logs.push_back({level, std::move(event), std::move(fields)});
    }
};

} // namespace caraway
