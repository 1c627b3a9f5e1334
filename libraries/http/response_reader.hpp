/// Reads the final responses on one connection, and skips the interim ones before each. Whatever reads
/// responses does it with this class, so that all accept the same.
#pragma once

#include "http/strict_response_parser.hpp"

#include <optional>

namespace caraway {

class response_reader {
public:
    explicit response_reader(response_limits initial_limits) : limits(initial_limits) {}

    /// Prepares for the next final response. One to a HEAD request has no body, whatever its header states.
    void start(bool is_head_request = false);

    /// For Beast's read operations; after each that has ended without an error, `finish_read` is to be
    /// called.
    strict_response_parser& parser() { return *this->current; }

    /// Returns whether the final response has been read whole; if not, more is to be read.
    bool finish_read();

    /// Whether anything of the response, or of an interim one before it, has been read.
    bool got_some() const { return this->interim_responses > 0 || this->current->got_some(); }

    /// What has been read of the body.
    body_builder const& received() const { return this->current->received(); }

    strict_response_parser::response_type release() { return this->current->release(); }

private:
    void prepare_parser();

    response_limits limits;
    bool is_head{false};
    int interim_responses{0};
    std::optional<strict_response_parser> current;
};

} // namespace caraway
