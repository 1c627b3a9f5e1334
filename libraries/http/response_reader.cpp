#include "http/response_reader.hpp"

namespace caraway {

namespace {

/// Before one final response; a connection with more is given up.
constexpr int max_interim_responses = 16;

} // namespace

void response_reader::start(bool is_head_request) {
    this->is_head = is_head_request;
    this->interim_responses = 0;
    this->prepare_parser();
}

bool response_reader::finish_read() {
    if (!this->current->is_done()) {
        return false;
    }
    if (this->current->is_interim()) {
        ++this->interim_responses;
        this->prepare_parser();
        return false;
    }
    return true;
}

void response_reader::prepare_parser() {
    auto const accepted = this->interim_responses < max_interim_responses
                              ? accepted_statuses::interim_and_final
                              : accepted_statuses::final_only;
    this->current.emplace(this->limits, accepted);
    this->current->eager(true);
    this->current->skip(this->is_head);
}

} // namespace caraway
