#include "mulberryplank/net/peerenvelope.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

namespace
{

// The first byte of every encoded envelope. It is incremented when the layout changes, so that a fleet with two
// versions drops unreadable messages instead of misreading them.
constexpr char EnvelopeVersion = 1;

// Separates this signature from any other use of the same key.
constexpr std::string_view MacContext = "mulberryplank peer envelope";

using Digest = std::array<std::uint8_t, MacSize>;

Digest sha256(std::string_view bytes)
{
    Digest digest {};
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

Digest sign(std::string_view body, std::string_view key)
{
    std::string input;
    input.reserve(MacContext.size() + body.size());
    input.append(MacContext);
    input.append(body);
    Digest mac {};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(input.data()),
         input.size(),
         mac.data(),
         &length);
    return mac;
}

bool signedByAny(std::string_view body, std::string_view mac, const std::vector<std::string> &keys)
{
    for (const std::string &key : keys) {
        const Digest expected = sign(body, key);
        // Compares in constant time: a comparison that stops early would reveal how many bytes an unauthenticated
        // sender has guessed.
        if (CRYPTO_memcmp(expected.data(), mac.data(), MacSize) == 0) {
            return true;
        }
    }
    return false;
}

} // namespace

// cereal finds these functions by name lookup, which determines the parameter types.
template<class Archive>
void save(Archive &archive, const PeerEnvelope &envelope)
{
    archive(static_cast<std::uint8_t>(envelope.channel), static_cast<std::uint8_t>(envelope.kind));
    archive(envelope.vm.value(), envelope.incarnation, envelope.from.host, envelope.from.port);
    archive(envelope.sequence, envelope.destination, envelope.payload);
}

template<class Archive>
void load(Archive &archive, PeerEnvelope &envelope)
{
    std::uint8_t channel = 0;
    std::uint8_t kind = 0;
    std::string vm;
    archive(channel, kind, vm, envelope.incarnation, envelope.from.host, envelope.from.port);
    archive(envelope.sequence, envelope.destination, envelope.payload);
    envelope.channel = static_cast<PeerChannel>(channel);
    envelope.kind = static_cast<PeerKind>(kind);
    envelope.vm = VmName(std::move(vm));
}

template<class Archive>
void serialize(Archive &archive, PayloadSummary &summary)
{
    archive(summary.size, summary.digest, summary.failed, summary.errorName);
}

std::string seal(const PeerEnvelope &envelope, std::string_view key)
{
    std::string bytes(1, EnvelopeVersion);
    bytes += cerealEncode(envelope);
    const Digest mac = sign(bytes, key);
    bytes.append(mac.begin(), mac.end());
    return bytes;
}

Result<PeerEnvelope> unseal(std::string_view bytes, const std::vector<std::string> &keys)
{
    if (bytes.size() <= MacSize) {
        return failure(ErrorKind::PeerUntrusted, "too short");
    }
    const std::string_view body = bytes.substr(0, bytes.size() - MacSize);
    if (!signedByAny(body, bytes.substr(body.size()), keys)) {
        return failure(ErrorKind::PeerUntrusted, "bad signature");
    }
    if (body.front() != EnvelopeVersion) {
        return failure(ErrorKind::BadRequest, "unknown version of the envelope");
    }
    return cerealDecode<PeerEnvelope>(body.substr(1));
}

PayloadSummary summarise(std::string_view payload)
{
    PayloadSummary summary;
    summary.size = payload.size();
    summary.digest = sha256(payload);
    return summary;
}

bool matches(const PayloadSummary &summary, std::string_view payload)
{
    return summary.size == payload.size() && summary.digest == sha256(payload);
}

std::string encode(const PayloadSummary &summary)
{
    return cerealEncode(summary);
}

Result<PayloadSummary> decodePayloadSummary(std::string_view bytes)
{
    return cerealDecode<PayloadSummary>(bytes);
}

} // namespace mulberryplank
