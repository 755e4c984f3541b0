#include "mulberryplank/policy/snapshotparts.h"

#include "itemjson.h"

namespace mulberryplank
{

namespace internal
{

namespace json = boost::json;

constexpr std::uint64_t PartFormat = 1;

// Quotes are escaped in JSON, which makes a part at most twice as long.
constexpr std::size_t MaxPartSize = MaxRecordSize / 2 - 1'024;

std::string hexDigest(std::string_view bytes)
{
    const RecordDigest digest = digestOfRecord(bytes);
    return toHex(digest.data(), digest.size());
}

struct Part {
    Offset next = 0;
    std::string digest;
    std::size_t index = 0;
    std::size_t count = 0;
    std::string data;
};

std::string encodePart(const Part &part)
{
    return json::serialize(json::object { { "v", PartFormat },
                                          { "next", part.next },
                                          { "sha256", part.digest },
                                          { "part", part.index },
                                          { "parts", part.count },
                                          { "data", part.data } });
}

std::optional<Part> decodePart(std::string_view record)
{
    try {
        const json::value value = parseJson(record);
        FieldReader reader(value, "");
        std::uint64_t format = 0;
        Part part;
        reader.read("v", format);
        reader.read("next", part.next);
        reader.read("sha256", part.digest);
        reader.read("part", part.index);
        reader.read("parts", part.count);
        reader.read("data", part.data);
        return format == PartFormat && part.index < part.count ? std::optional(std::move(part)) : std::nullopt;
    } catch (const FieldFault &) {
        return std::nullopt;
    }
}

} // namespace internal

std::vector<std::string> splitSnapshot(Offset next, std::string_view snapshot)
{
    const std::string digest = internal::hexDigest(snapshot);
    const std::size_t count =
        std::max<std::size_t>(1, (snapshot.size() + internal::MaxPartSize - 1) / internal::MaxPartSize);
    std::vector<std::string> records;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string_view data = snapshot.substr(index * internal::MaxPartSize, internal::MaxPartSize);
        records.push_back(internal::encodePart({ next, digest, index, count, std::string(data) }));
    }
    return records;
}

std::optional<Offset> snapshotEndedBy(std::string_view record)
{
    const auto part = internal::decodePart(record);
    return part && part->index + 1 == part->count ? std::optional(part->next) : std::nullopt;
}

void SnapshotAssembler::add(std::string_view record)
{
    auto part = internal::decodePart(record);
    if (!part) {
        return;
    }
    Parts &parts = m_snapshots[{ part->next, part->digest }];
    parts.count = part->count;
    parts.data[part->index] = std::move(part->data);
}

std::optional<SnapshotAssembler::Snapshot> SnapshotAssembler::newest() const
{
    for (auto snapshot = m_snapshots.rbegin(); snapshot != m_snapshots.rend(); ++snapshot) {
        if (snapshot->second.data.size() != snapshot->second.count) {
            continue;
        }
        std::string bytes;
        for (const auto &[index, data] : snapshot->second.data) {
            bytes += data;
        }
        // A part of a foreign snapshot that claims to belong here would give a table that nobody ever had.
        if (internal::hexDigest(bytes) == snapshot->first.second) {
            return Snapshot { snapshot->first.first, std::move(bytes) };
        }
    }
    return std::nullopt;
}

} // namespace mulberryplank
