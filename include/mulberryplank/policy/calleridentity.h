#pragma once

#include <optional>
#include <string_view>

#include "mulberryplank/base/name.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// The identity that a caller presents in its Authorization header. Unverified until secretMatches() returns true.
struct PresentedIdentity {
    AccountName account;
    std::string_view secret; // points into the parsed header value
};

// Returns the identity in an Authorization header of the form "Bearer ACCOUNT.SECRET", or nothing if the value has
// another form. The account name extends to the last dot, so it may contain dots and the secret may not. `value` must
// outlive the result.
std::optional<PresentedIdentity> parseAuthorization(std::string_view value);

// Returns the digest of `secret` in the form that the configuration stores.
SecretDigest digestOf(std::string_view secret);

// Returns true if `expected` is the digest of `secret`. Runs in constant time, wherever the digests differ.
bool secretMatches(std::string_view secret, const SecretDigest &expected);

} // namespace mulberryplank
