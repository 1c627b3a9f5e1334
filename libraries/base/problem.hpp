/// The error that a boost::leaf::result carries: a numbered code, a message and the place in a file.
#pragma once

#include "base/result_code.hpp"

#include <boost/leaf.hpp>

#include <string>

namespace caraway {

/// What went wrong and where; the message is for the operator who fixes it.
struct problem {
    result_code code{result_code::io_failed};
    std::string message;
    std::string file; ///< Empty when the error is in no file.
    int line{0};      ///< From 1; 0 when unknown.
};

template <typename T>
using result = boost::leaf::result<T>;

/// Creates the error that a function returning `result` returns.
inline auto fail(problem value) {
    return boost::leaf::new_error(std::move(value));
}

/// One line: "file:line: name (number): message. remedy".
std::string to_text(problem const& value);

/// Runs `attempt` and returns the value of its result. On an error, returns what `handle` returns for the
/// problem.
template <typename Attempt, typename Handle>
auto attempt_or(Attempt&& attempt, Handle&& handle) {
    return boost::leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](problem const& value) { return handle(value); },
        [&] {
            return handle(problem{result_code::io_failed, "an error without a description"});
        });
}

} // namespace caraway
