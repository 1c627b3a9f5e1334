#include "link/codec.hpp"

#include <QByteArray>
#include <QCborStreamReader>
#include <QCborStreamWriter>
#include <qfloat16.h>

#include <cmath>
#include <concepts>
#include <limits>
#include <type_traits>

namespace caraway {

namespace {

template <typename T>
struct is_array : std::false_type {};
template <typename T, std::size_t Size>
struct is_array<std::array<T, Size>> : std::true_type {};

template <typename T>
struct is_vector : std::false_type {};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {};

/// Writes the fields in order; nested lists and structures become CBOR arrays.
class cbor_writer {
public:
    explicit cbor_writer(QByteArray* bytes) : stream(bytes) {}

    void begin_message(std::size_t type) {
        this->stream.startArray();
        this->stream.append(static_cast<quint64>(type));
    }
    void end_message() { this->stream.endArray(); }

    template <typename... Fields>
    void operator()(Fields&... fields) {
        (this->write(fields), ...);
    }

private:
    /// In the shortest form that keeps the exact value: most numbers are whole, or fractions like 1.
    void write_number(double value) {
        bool const in_range = std::abs(value) <= std::numeric_limits<float>::max();
        auto const single = in_range ? static_cast<float>(value) : 0.0F;
        auto const half = static_cast<qfloat16>(single);
        if (!in_range || static_cast<double>(single) != value) {
            this->stream.append(value);
        } else if (static_cast<float>(half) != single) {
            this->stream.append(single);
        } else {
            this->stream.append(half);
        }
    }

    template <typename T>
    void write(T& value) {
        if constexpr (std::same_as<T, bool>) {
            this->stream.append(value);
        } else if constexpr (std::same_as<T, double>) {
            this->write_number(value);
        } else if constexpr (std::is_enum_v<T>) {
            this->stream.append(static_cast<quint64>(value));
        } else if constexpr (std::signed_integral<T>) {
            this->stream.append(static_cast<qint64>(value));
        } else if constexpr (std::unsigned_integral<T>) {
            this->stream.append(static_cast<quint64>(value));
        } else if constexpr (std::same_as<T, std::string>) {
            this->stream.appendByteString(value.data(), static_cast<qsizetype>(value.size()));
        } else if constexpr (std::same_as<T, message_body>) {
            auto const bytes = value.view();
            this->stream.appendByteString(bytes.data(), static_cast<qsizetype>(bytes.size()));
        } else if constexpr (is_vector<T>::value || is_array<T>::value) {
            this->stream.startArray(value.size());
            for (auto& element : value) {
                this->write(element);
            }
            this->stream.endArray();
        } else {
            this->stream.startArray();
            value.visit(*this);
            this->stream.endArray();
        }
    }

    QCborStreamWriter stream;
};

/// Reads the fields in the same order; the first unexpected item makes the whole message malformed.
class cbor_reader {
public:
    explicit cbor_reader(QByteArray const& bytes) : stream(bytes) {}

    bool enter() { return this->stream.isArray() && this->stream.enterContainer(); }
    bool leave() {
        return this->valid && !this->stream.hasNext() && this->stream.leaveContainer() &&
               this->stream.lastError() == QCborError::NoError;
    }
    qint64 consumed() const { return this->stream.currentOffset(); }

    template <typename... Fields>
    void operator()(Fields&... fields) {
        (this->read(fields), ...);
    }

    bool is_valid() const { return this->valid; }

private:
    void reject() { this->valid = false; }

    template <std::integral T>
    void read_unsigned(T& value) {
        if (!this->stream.isUnsignedInteger() || !std::in_range<T>(this->stream.toUnsignedInteger())) {
            return this->reject();
        }
        value = static_cast<T>(this->stream.toUnsignedInteger());
        this->stream.next();
    }

    void read_number(double& value) {
        if (this->stream.isFloat16()) {
            value = static_cast<double>(static_cast<float>(this->stream.toFloat16()));
        } else if (this->stream.isFloat()) {
            value = static_cast<double>(this->stream.toFloat());
        } else if (this->stream.isDouble()) {
            value = this->stream.toDouble();
        } else {
            return this->reject();
        }
        this->stream.next();
    }

    template <typename T>
    void read_enum(T& value) {
        std::underlying_type_t<T> number{};
        this->read_unsigned(number);
        if constexpr (std::same_as<T, result_code>) {
            if (!result_code_from_number(number)) {
                return this->reject();
            }
        } else if constexpr (std::same_as<T, outcome>) {
            if (number > static_cast<std::uint8_t>(outcome::unknown)) {
                return this->reject();
            }
        } else if (number >= document_kind_count) {
            return this->reject();
        }
        value = static_cast<T>(number);
    }

    void read_string(std::string& value) {
        if (!this->stream.isByteArray()) {
            return this->reject();
        }
        value.clear();
        auto chunk = this->stream.readByteArray();
        while (chunk.status == QCborStreamReader::Ok) {
            value.append(chunk.data.constData(), static_cast<std::size_t>(chunk.data.size()));
            chunk = this->stream.readByteArray();
        }
        if (chunk.status == QCborStreamReader::Error) {
            this->reject();
        }
    }

    template <typename List>
    void read_list(List& list) {
        bool const bounded = this->stream.isArray() && this->stream.isLengthKnown() &&
                             this->stream.length() <= max_list_length;
        if (!bounded) {
            return this->reject();
        }
        auto const length = static_cast<std::size_t>(this->stream.length());
        if constexpr (is_array<List>::value) {
            if (length != list.size()) {
                return this->reject();
            }
        }
        this->stream.enterContainer();
        if constexpr (is_vector<List>::value) {
            // Grown element by element, so that a forged length does not reserve memory.
            for (std::size_t index = 0; index < length && this->valid; ++index) {
                this->read(list.emplace_back());
            }
        } else {
            for (auto& element : list) {
                this->read(element);
            }
        }
        if (!this->valid || this->stream.hasNext() || !this->stream.leaveContainer()) {
            this->reject();
        }
    }

    template <typename T>
    void read(T& value) {
        if (!this->valid || this->stream.lastError() != QCborError::NoError) {
            return this->reject();
        }
        if constexpr (std::same_as<T, bool>) {
            if (!this->stream.isBool()) {
                return this->reject();
            }
            value = this->stream.toBool();
            this->stream.next();
        } else if constexpr (std::same_as<T, double>) {
            this->read_number(value);
        } else if constexpr (std::is_enum_v<T>) {
            this->read_enum(value);
        } else if constexpr (std::signed_integral<T>) {
            if (!this->stream.isInteger()) {
                return this->reject();
            }
            value = static_cast<T>(this->stream.toInteger());
            this->stream.next();
        } else if constexpr (std::unsigned_integral<T>) {
            this->read_unsigned(value);
        } else if constexpr (std::same_as<T, std::string>) {
            this->read_string(value);
        } else if constexpr (std::same_as<T, message_body>) {
            std::string bytes;
            this->read_string(bytes);
            value = std::move(bytes);
        } else if constexpr (is_vector<T>::value || is_array<T>::value) {
            this->read_list(value);
        } else {
            this->read_structure(value);
        }
    }

    template <typename T>
    void read_structure(T& value) {
        if (!this->enter()) {
            return this->reject();
        }
        value.visit(*this);
        if (!this->valid || this->stream.hasNext() || !this->stream.leaveContainer()) {
            this->reject();
        }
    }

    QCborStreamReader stream;
    bool valid{true};
};

template <std::size_t Index = 0>
bool read_alternative(std::size_t type, cbor_reader& reader, message& value) {
    if constexpr (Index < std::variant_size_v<message>) {
        if (type != Index) {
            return read_alternative<Index + 1>(type, reader, value);
        }
        auto& alternative = value.emplace<Index>();
        alternative.visit(reader);
        return reader.is_valid();
    }
    return false;
}

} // namespace

std::string encode(message const& value) {
    QByteArray bytes;
    cbor_writer writer(&bytes);
    writer.begin_message(value.index());
    // `visit` passes the fields by reference because the reader assigns them; the writer changes nothing.
    std::visit([&writer](auto& alternative) { alternative.visit(writer); }, const_cast<message&>(value));
    writer.end_message();
    return bytes.toStdString();
}

result<message> decode(std::string_view bytes) {
    auto const raw = QByteArray::fromRawData(bytes.data(), static_cast<qsizetype>(bytes.size()));
    cbor_reader reader(raw);
    message value;
    std::uint32_t type = 0;
    if (!reader.enter()) {
        return fail({result_code::link_malformed, "The message is not a CBOR array."});
    }
    reader(type);
    bool const is_complete = reader.is_valid() && read_alternative(type, reader, value) && reader.leave() &&
                             reader.consumed() == static_cast<qint64>(bytes.size());
    if (!is_complete) {
        return fail(
            {result_code::link_malformed, "The message of type " + std::to_string(type) + " is malformed."});
    }
    return value;
}

} // namespace caraway
