#include "mulberryplank/net/membershipcodec.h"

#include <limits>
#include <stdexcept>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

namespace
{

// cereal spends eight bytes on the length of a string, more than most names take. One is enough here, since settings
// limit names and addresses to 64 bytes; a longer one is refused.
template<class Archive>
void saveText(Archive &archive, const std::string &text)
{
    if (text.size() > std::numeric_limits<std::uint8_t>::max()) {
        throw std::length_error("name too long for the members' protocol");
    }
    archive(static_cast<std::uint8_t>(text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
}

template<class Archive>
std::string loadText(Archive &archive)
{
    std::uint8_t size = 0;
    archive(size);
    std::string text(size, '\0');
    archive(cereal::binary_data(text.data(), text.size()));
    return text;
}

template<class Archive>
void saveEndpoint(Archive &archive, const Endpoint &endpoint)
{
    saveText(archive, endpoint.host);
    archive(endpoint.port);
}

template<class Archive>
Endpoint loadEndpoint(Archive &archive)
{
    Endpoint endpoint;
    endpoint.host = loadText(archive);
    archive(endpoint.port);
    return endpoint;
}

template<class Archive>
MemberDescription loadDescription(Archive &archive)
{
    MemberDescription memberDescription;
    memberDescription.vm = VmName(loadText(archive));
    memberDescription.peer = loadEndpoint(archive);
    memberDescription.caller = loadEndpoint(archive);
    memberDescription.failureDomain = FailureDomain(loadText(archive));
    archive(memberDescription.capacity);
    return memberDescription;
}

// The status and two flags share a byte.
constexpr std::uint8_t StatusMask = 0x0f;
constexpr std::uint8_t ReadyFlag = 0x10;
constexpr std::uint8_t DescriptionFlag = 0x20;

// A longer list can't be honest: it would be a fleet of more members than there are addresses to reach them at.
constexpr std::uint32_t MaxUpdates = 1'000'000;

} // namespace

template<class Archive>
void save(Archive &archive, const MemberUpdate &update)
{
    auto flags = static_cast<std::uint8_t>(update.status);
    flags |= update.ready ? ReadyFlag : 0;
    flags |= update.description ? DescriptionFlag : 0;
    archive(update.incarnation, flags, update.counter, update.applied);
    if (update.description) {
        saveText(archive, update.description->vm.value());
        saveEndpoint(archive, update.description->peer);
        saveEndpoint(archive, update.description->caller);
        saveText(archive, update.description->failureDomain.value());
        archive(update.description->capacity);
    }
}

template<class Archive>
void load(Archive &archive, MemberUpdate &update)
{
    std::uint8_t flags = 0;
    archive(update.incarnation, flags, update.counter, update.applied);
    if ((flags & StatusMask) > static_cast<std::uint8_t>(MemberStatus::Dead)) {
        throw std::runtime_error("unknown status of a member");
    }
    update.status = static_cast<MemberStatus>(flags & StatusMask);
    update.ready = (flags & ReadyFlag) != 0;
    if ((flags & DescriptionFlag) != 0) {
        update.description = std::make_shared<const MemberDescription>(loadDescription(archive));
    }
}

template<class Archive>
void save(Archive &archive, const std::vector<MemberUpdate> &updates)
{
    archive(static_cast<std::uint32_t>(updates.size()));
    for (const MemberUpdate &update : updates) {
        archive(update);
    }
}

template<class Archive>
void load(Archive &archive, std::vector<MemberUpdate> &updates)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > MaxUpdates) {
        throw std::length_error("too many members");
    }
    for (std::uint32_t i = 0; i < size; ++i) {
        archive(updates.emplace_back());
    }
}

template<class Archive>
void save(Archive &archive, const MembershipMessage &message)
{
    archive(static_cast<std::uint8_t>(message.kind), message.number, message.subject, message.origin);
    archive(message.receivedFromOrigin);
    saveEndpoint(archive, message.subjectPeer);
    archive(message.sender, message.liveCount);
    save(archive, message.updates);
}

template<class Archive>
void load(Archive &archive, MembershipMessage &message)
{
    std::uint8_t kind = 0;
    archive(kind, message.number, message.subject, message.origin);
    archive(message.receivedFromOrigin);
    message.kind = static_cast<MembershipKind>(kind);
    message.subjectPeer = loadEndpoint(archive);
    archive(message.sender, message.liveCount);
    load(archive, message.updates);
}

template<class Archive>
void save(Archive &archive, const MemberExchange &exchange)
{
    archive(exchange.liveCount);
    save(archive, exchange.updates);
}

template<class Archive>
void load(Archive &archive, MemberExchange &exchange)
{
    archive(exchange.liveCount);
    load(archive, exchange.updates);
}

namespace
{

// Keeps cereal's own encoding of vectors out of the way.
struct UpdateList {
    std::vector<MemberUpdate> updates;

    template<class Archive>
    void save(Archive &archive) const
    {
        mulberryplank::save(archive, updates);
    }

    template<class Archive>
    void load(Archive &archive)
    {
        mulberryplank::load(archive, updates);
    }
};

} // namespace

std::string encode(const MembershipMessage &message)
{
    return cerealEncode(message);
}

Result<MembershipMessage> decodeMembershipMessage(std::string_view bytes)
{
    return cerealDecode<MembershipMessage>(bytes);
}

std::string encode(const std::vector<MemberUpdate> &updates)
{
    return cerealEncode(UpdateList { updates });
}

Result<std::vector<MemberUpdate>> decodeMemberUpdates(std::string_view bytes)
{
    auto list = cerealDecode<UpdateList>(bytes);
    if (!list) {
        return tl::unexpected(list.error());
    }
    return std::move(list->updates);
}

std::string encode(const MemberExchange &exchange)
{
    return cerealEncode(exchange);
}

Result<MemberExchange> decodeMemberExchange(std::string_view bytes)
{
    return cerealDecode<MemberExchange>(bytes);
}

} // namespace mulberryplank
