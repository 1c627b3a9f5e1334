#include "request_log.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace caraway {

namespace {

std::string text(QJsonValue const& value) {
    return value.toString().toStdString();
}

bool belongs_to_request(std::string const& id, std::string const& request_id) {
    return id == request_id || id.starts_with(request_id + ".");
}

} // namespace

std::string log_line::field(std::string const& name) const {
    auto const found = std::ranges::find(this->fields, name, &header_field::name);
    return found == this->fields.end() ? std::string{} : found->value;
}

void collect_request_lines(std::istream& log, std::string const& request_id, std::vector<log_line>& lines) {
    std::string row;
    while (std::getline(log, row)) {
        auto const begin = row.find('{');
        if (begin == std::string::npos || row.find(request_id) == std::string::npos) {
            continue;
        }
        auto const object = QJsonDocument::fromJson(QByteArray::fromStdString(row.substr(begin))).object();
        auto const context = object.value("context_map").toObject();
        log_line line{.timestamp = text(object.value("timestamp")),
                      .event = text(object.value("message")),
                      .request_id = text(context.value("request_id"))};
        if (!belongs_to_request(line.request_id, request_id)) {
            continue;
        }
        for (auto entry = context.begin(); entry != context.end(); ++entry) {
            line.fields.push_back({entry.key().toStdString(), text(entry.value())});
        }
        lines.push_back(std::move(line));
    }
}

void sort_by_time(std::vector<log_line>& lines) {
    std::ranges::stable_sort(lines, {}, &log_line::timestamp);
}

log_line const* find_outcome(std::vector<log_line> const& lines, std::string const& request_id) {
    auto const found = std::ranges::find_if(lines.rbegin(), lines.rend(), [&](log_line const& line) {
        return line.request_id == request_id && !line.field("code").empty();
    });
    return found == lines.rend() ? nullptr : &*found;
}

} // namespace caraway
