#include "base/problem.hpp"

namespace caraway {

std::string to_text(problem const& value) {
    auto const& entry = describe(value.code);
    std::string text;
    if (!value.file.empty()) {
        text += value.file;
        if (value.line > 0) {
            text += ":" + std::to_string(value.line);
        }
        text += ": ";
    }
    text +=
        std::string(entry.name) + " (" + std::to_string(static_cast<int>(entry.code)) + "): " + value.message;
    text += " " + std::string(entry.remedy);
    return text;
}

} // namespace caraway
