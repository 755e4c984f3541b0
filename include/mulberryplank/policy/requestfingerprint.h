#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mulberryplank
{

// The parts of a request that are the same each time a caller sends it. The caller's id of a transmission, its deadline
// and fields of one connection are not among them.
struct RequestContent {
    std::string_view method;
    std::string_view host;
    std::string_view target; // path and query
    std::string_view account; // the caller's credentials; empty if it sent none
    std::string_view body;
};

// Identifies the content of a request among the processes of a fleet. Requests of different accounts differ.
enum class RequestFingerprint : std::uint64_t {
};

// Computes fingerprints with a key that the processes of a fleet share. Callers don't know the key, so that an account
// can't craft a request with the fingerprint of another account's request. Thread-compatible.
class RequestFingerprinter
{
public:
    // Sets the key. Fingerprints of different keys can't be compared.
    void setKey(std::string_view key);

    // Returns the fingerprint of `content`.
    RequestFingerprint fingerprint(const RequestContent &content) const;

private:
    std::uint64_t m_seed = 0;
};

// Returns the fingerprint as 16 hexadecimal digits.
std::string toString(RequestFingerprint fingerprint);

// Returns the fingerprint that toString() has written, or nothing.
std::optional<RequestFingerprint> requestFingerprintFromString(std::string_view text);

} // namespace mulberryplank
