/// Hashes and message authentication, all by libraries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

/// A fast 64-bit hash for placement and fingerprints; not for secrets.
std::uint64_t fast_hash(std::string_view text, std::uint64_t seed = 0);

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 as 32 raw bytes.
std::string hmac_sha256(std::string_view secret, std::string_view text);

/// Compares in time that depends on the length only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Bytes as lower-case hexadecimal digits, and back; a bad digit gives an empty string.
std::string to_hex(std::string_view bytes);
std::string from_hex(std::string_view digits);

/// Bytes from the operating system's generator; for tickets, tokens and nonces.
std::string random_bytes(std::size_t count);
std::uint64_t random_number();

/// Hexadecimal digits that tell things apart but protect nothing, as in trace ids.
std::string random_hex_digits(std::size_t count);

} // namespace caraway
