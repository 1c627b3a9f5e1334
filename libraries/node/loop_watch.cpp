#include "node/loop_watch.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace caraway {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<core_event>> event_names{
    "request",           "disconnect",       "target_answer",    "link",
    "platform_document", "platform_service", "document_checked", "phase"};
constexpr std::array<std::string_view, std::variant_size_v<message>> message_names{
    "hello",           "challenge", "proof", "ping",   "pong",          "forward",     "answer",
    "cancel",          "gossip",    "fetch", "values", "token_request", "token_grant", "membership_request",
    "membership_reply"};

} // namespace

void loop_watch::record_step(std::string_view name, duration taken) {
    auto& turn = this->current;
    ++turn.step_count;
    turn.core_time = turn.core_time + taken;
    if (taken >= turn.longest_time) {
        turn.longest_step = name;
        turn.longest_time = taken;
    }
}

loop_turn loop_watch::end_turn(time_point due, time_point now) {
    this->current.late = std::max(duration{0}, now - due);
    return std::exchange(this->current, {});
}

std::string_view step_name(core_event const& event) {
    auto const* link = std::get_if<link_event>(&event);
    if (link != nullptr && link->kind == link_event_kind::received) {
        return message_names.at(link->content.index());
    }
    return event_names.at(event.index());
}

} // namespace caraway
