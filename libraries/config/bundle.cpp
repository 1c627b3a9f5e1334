#include "config/bundle.hpp"

#include "base/digest.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace caraway {

namespace {

constexpr std::size_t bucket_bytes = 32'768;
constexpr std::size_t digest_digits = 32;

struct json_writer {
    QJsonValue operator()(double value) const { return value; }
    QJsonValue operator()(bool value) const { return value; }
    QJsonValue operator()(std::string const& value) const { return QString::fromStdString(value); }
    QJsonValue operator()(std::vector<std::string> const& value) const {
        QJsonArray array;
        for (auto const& text : value) {
            array.append(QString::fromStdString(text));
        }
        return array;
    }
};

std::string to_text(QJsonObject const& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject item_to_json(field_map const& fields) {
    QJsonObject object;
    for (auto const& [name, value] : fields) {
        object.insert(QString::fromStdString(name), std::visit(json_writer{}, value.value));
    }
    return object;
}

/// The number of buckets that keeps each near `bucket_bytes`; a power of two, so that growth moves few items
/// to another bucket.
std::size_t bucket_count(std::size_t section_bytes) {
    std::size_t count = 1;
    while (count * bucket_bytes < section_bytes) {
        count *= 2;
    }
    return count;
}

std::map<std::string, std::string> split_into_buckets(std::string const& section, item_map const& items) {
    std::vector<std::pair<std::string, QJsonObject>> rows;
    std::size_t total = 0;
    for (auto const& [name, fields] : items) {
        rows.emplace_back(name, item_to_json(fields));
        total += name.size() + to_text(rows.back().second).size();
    }
    std::vector<QJsonObject> buckets(bucket_count(total));
    for (auto const& [name, object] : rows) {
        buckets[fast_hash(name) % buckets.size()].insert(QString::fromStdString(name), object);
    }
    std::map<std::string, std::string> values;
    for (std::size_t index = 0; index < buckets.size(); ++index) {
        auto const value_name = section + "." + std::to_string(index);
        values[value_name] =
            to_text({{"section", QString::fromStdString(section)}, {"items", buckets[index]}});
    }
    return values;
}

result<QJsonObject> parse_object(std::string const& text, std::string const& name) {
    QJsonParseError error{};
    auto const document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &error);
    if (!document.isObject()) {
        return fail({result_code::configuration_syntax,
                     "'" + name + "' is not a JSON object: " + error.errorString().toStdString() + "."});
    }
    return document.object();
}

result<located_value> parse_value(QJsonValue const& json, std::string const& place) {
    located_value value{.file = place};
    if (json.isDouble()) {
        value.value = json.toDouble();
    } else if (json.isBool()) {
        value.value = json.toBool();
    } else if (json.isString()) {
        value.value = json.toString().toStdString();
    } else {
        return fail(
            {result_code::configuration_wrong_type, "A value is not a number, boolean or text.", place});
    }
    return value;
}

result<void> parse_items(QJsonObject const& object, std::string const& place, item_set& items) {
    auto const section = object.value("section").toString().toStdString();
    auto const rows = object.value("items").toObject();
    for (auto row = rows.begin(); row != rows.end(); ++row) {
        auto& fields = items[section][row.key().toStdString()];
        auto const columns = row.value().toObject();
        for (auto column = columns.begin(); column != columns.end(); ++column) {
            BOOST_LEAF_AUTO(value, parse_value(column.value(), place));
            BOOST_LEAF_CHECK(check_value(configuration_schema(), section, column.key().toStdString(), value));
            fields[column.key().toStdString()] = std::move(value);
        }
    }
    return {};
}

} // namespace

std::string value_digest(std::string const& text) {
    return sha256_hex(text).substr(0, digest_digits);
}

result<bundle> make_bundle(item_set const& items, std::uint64_t revision) {
    BOOST_LEAF_CHECK(configuration::create(items, revision));
    bundle new_bundle;
    QJsonObject digests;
    for (auto const& [section, section_items] : items) {
        for (auto& [name, text] : split_into_buckets(section, section_items)) {
            if (text.size() > max_value_bytes) {
                return fail({result_code::configuration_too_large,
                             "'" + name + "' has " + std::to_string(text.size()) + " bytes."});
            }
            digests.insert(QString::fromStdString(name), QString::fromStdString(value_digest(text)));
            new_bundle.values[name] = text;
        }
    }
    new_bundle.manifest_text = to_text({{"revision", QString::number(revision)}, {"values", digests}});
    if (new_bundle.manifest_text.size() > max_value_bytes) {
        return fail({result_code::configuration_too_large, "The manifest is over the size limit."});
    }
    return new_bundle;
}

result<manifest> parse_manifest(std::string const& text) {
    if (text.size() > max_value_bytes) {
        return fail({result_code::configuration_too_large, "The manifest is over the size limit."});
    }
    BOOST_LEAF_AUTO(object, parse_object(text, std::string(manifest_name)));
    bool valid = false;
    manifest parsed{.revision = object.value("revision").toString().toULongLong(&valid)};
    if (!valid) {
        return fail({result_code::configuration_wrong_type, "The manifest has no revision."});
    }
    auto const digests = object.value("values").toObject();
    for (auto entry = digests.begin(); entry != digests.end(); ++entry) {
        parsed.digests[entry.key().toStdString()] = entry.value().toString().toStdString();
    }
    return parsed;
}

result<item_set> bundle_items(bundle const& published) {
    BOOST_LEAF_AUTO(parsed, parse_manifest(published.manifest_text));
    item_set items;
    for (auto const& [name, digest] : parsed.digests) {
        auto const value = published.values.find(name);
        if (value == published.values.end() || value_digest(value->second) != digest) {
            return fail(
                {result_code::configuration_digest, "The value '" + name + "' is missing or damaged."});
        }
        if (value->second.size() > max_value_bytes) {
            return fail(
                {result_code::configuration_too_large, "The value '" + name + "' is over the size limit."});
        }
        BOOST_LEAF_AUTO(object, parse_object(value->second, name));
        BOOST_LEAF_CHECK(parse_items(object, name, items));
    }
    return items;
}

result<configuration_pointer> compile_bundle(bundle const& published) {
    BOOST_LEAF_AUTO(parsed, parse_manifest(published.manifest_text));
    BOOST_LEAF_AUTO(items, bundle_items(published));
    return configuration::create(items, parsed.revision);
}

std::string bundle_to_json(bundle const& published) {
    QJsonObject values;
    for (auto const& [name, text] : published.values) {
        values.insert(QString::fromStdString(name), QString::fromStdString(text));
    }
    return to_text({{"manifest", QString::fromStdString(published.manifest_text)}, {"values", values}});
}

result<bundle> bundle_from_json(std::string const& text) {
    BOOST_LEAF_AUTO(object, parse_object(text, "bundle"));
    bundle parsed{.manifest_text = object.value("manifest").toString().toStdString()};
    auto const values = object.value("values").toObject();
    for (auto entry = values.begin(); entry != values.end(); ++entry) {
        parsed.values[entry.key().toStdString()] = entry.value().toString().toStdString();
    }
    return parsed;
}

} // namespace caraway
