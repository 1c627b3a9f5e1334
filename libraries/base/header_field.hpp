/// An HTTP header field that is forwarded unchanged from hop to hop.
#pragma once

#include <string>
#include <vector>

namespace caraway {

struct header_field {
    std::string name;
    std::string value;

    /// Visits the members in the order in which all codecs encode them.
    template <typename Visitor>
    void visit(Visitor&& visitor) {
        visitor(this->name, this->value);
    }
    bool operator==(header_field const&) const = default;
};

using header_list = std::vector<header_field>;

} // namespace caraway
