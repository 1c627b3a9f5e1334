#include "base/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <random>
#include <stdexcept>

namespace caraway {

namespace {

unsigned char const* as_unsigned(std::string_view text) {
    return reinterpret_cast<unsigned char const*>(text.data());
}

int digit_value(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    return -1;
}

} // namespace

std::uint64_t fast_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    return to_hex({reinterpret_cast<char const*>(bytes.data()), size});
}

std::string hmac_sha256(std::string_view secret, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), as_unsigned(text), text.size(),
         bytes.data(), &size);
    return {reinterpret_cast<char const*>(bytes.data()), size};
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::string_view bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (auto const byte : bytes) {
        auto const value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4U]);
        text.push_back(digits[value & 15U]);
    }
    return text;
}

std::string from_hex(std::string_view digits) {
    if (digits.size() % 2 != 0) {
        return {};
    }
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t index = 0; index < digits.size(); index += 2) {
        int const high = digit_value(digits[index]);
        int const low = digit_value(digits[index + 1]);
        if (high < 0 || low < 0) {
            return {};
        }
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

std::string random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) {
        throw std::runtime_error("OpenSSL's random number generator failed");
    }
    return bytes;
}

std::uint64_t random_number() {
    // Only the seed comes from the secure generator: every choice of a host draws a number, so it must be
    // cheap.
    thread_local std::mt19937_64 generator = [] {
        std::uint64_t seed = 0;
        auto const bytes = random_bytes(sizeof seed);
        std::memcpy(&seed, bytes.data(), sizeof seed);
        return std::mt19937_64(seed);
    }();
    return generator();
}

std::string random_hex_digits(std::size_t count) {
    std::string digits;
    while (digits.size() < count) {
        auto const number = random_number();
        digits += to_hex({reinterpret_cast<char const*>(&number), sizeof number});
    }
    digits.resize(count);
    return digits;
}

} // namespace caraway
