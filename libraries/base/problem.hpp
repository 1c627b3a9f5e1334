/// The error that travels in a boost::leaf::result: a numbered code with its place and message.
#pragma once

#include "base/result_code.hpp"

#include <boost/leaf.hpp>

#include <string>

namespace caraway {

/// What went wrong, where, and in words for the person who mends it.
struct problem {
    result_code code{result_code::io_failed};
    std::string message;
    std::string file; ///< Empty when no file is concerned.
    int line{0};      ///< From 1; 0 when unknown.
};

template <typename T>
using result = boost::leaf::result<T>;

/// Starts an error that carries `value`.
inline auto fail(problem value) {
    return boost::leaf::new_error(std::move(value));
}

/// One line: "file:line: name (number): message. remedy".
std::string to_text(problem const& value);

/// Runs `attempt`, which returns a result; gives its value, or passes the problem to `handle` and gives that.
template <typename Attempt, typename Handle>
auto attempt_or(Attempt&& attempt, Handle&& handle) {
    return boost::leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](problem const& value) { return handle(value); },
        [&] {
            return handle(problem{result_code::io_failed, "an error without a description"});
        });
}

} // namespace caraway
