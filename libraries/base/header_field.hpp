/// One HTTP header field that is passed on unchanged from hop to hop.
#pragma once

#include <string>
#include <vector>

namespace caraway {

struct header_field {
    std::string name;
    std::string value;

    /// Lists the fields once for every codec.
    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->name, this->value);
    }
    bool operator==(header_field const&) const = default;
};

using header_list = std::vector<header_field>;

} // namespace caraway
