/// Hashes, message authentication codes and random numbers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway {

/// A fast 64-bit hash (XXH3) for placement and fingerprints; not cryptographic.
std::uint64_t fast_hash(std::string_view text, std::uint64_t seed = 0);

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 as 32 raw bytes.
std::string hmac_sha256(std::string_view secret, std::string_view text);

/// Compares in a time that depends on the length only, so that it does not reveal where two secrets differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Encodes bytes as lower-case hexadecimal digits.
std::string to_hex(std::string_view bytes);

/// Returns an empty string when a digit is invalid or the number of digits is odd.
std::string from_hex(std::string_view digits);

/// Cryptographically secure bytes; for tickets, tokens and nonces.
std::string random_bytes(std::size_t count);

/// A pseudorandom number, not cryptographically secure; each thread has a generator of its own.
std::uint64_t random_number();

/// Pseudorandom hexadecimal digits for identifiers that need not be secret, such as trace ids.
std::string random_hex_digits(std::size_t count);

} // namespace caraway
