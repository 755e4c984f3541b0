#pragma once

#include <optional>
#include <string_view>

#include "mulberryplank/base/name.h"
#include "mulberryplank/policy/configmodel.h"

namespace mulberryplank
{

// What a caller claims in its Authorization header. Nothing of it is proven until secretMatches() has said so.
struct PresentedIdentity {
    AccountName account;
    std::string_view secret; // points into the header value that was parsed
};

// Returns the claim in an Authorization header of the form "Bearer ACCOUNT.SECRET", or nothing when the value has
// another form. The account's name reaches up to the last dot, so a name may hold dots and a secret may not. `value`
// must outlive the result.
std::optional<PresentedIdentity> parseAuthorization(std::string_view value);

// Returns the digest of `secret` as it stands in the configuration.
SecretDigest digestOf(std::string_view secret);

// Returns true if `secret` is the one that `expected` is the digest of. Takes the same time wherever they differ.
bool secretMatches(std::string_view secret, const SecretDigest &expected);

} // namespace mulberryplank
