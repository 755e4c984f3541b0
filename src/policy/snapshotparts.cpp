#include "mulberryplank/policy/snapshotparts.h"

#include <openssl/evp.h>

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

// The SHA-256 of bytes that come one after the other.
class IncrementalDigest
{
public:
    IncrementalDigest()
        : m_context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr);
    }

    void update(std::string_view bytes)
    {
        EVP_DigestUpdate(m_context.get(), bytes.data(), bytes.size());
    }

    // Returns it in hexadecimal. Only to be called once, at the end.
    std::string finish()
    {
        RecordDigest digest {};
        EVP_DigestFinal_ex(m_context.get(), digest.data(), nullptr);
        return toHex(digest.data(), digest.size());
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

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
    } catch (const FieldError &) {
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

SnapshotParts::SnapshotParts(const ConfigTable &table)
    : m_next(table.nextOffset())
{
    internal::IncrementalDigest digest;
    table.writeSnapshot([&](std::string_view chunk) {
        digest.update(chunk);
        while (!chunk.empty()) {
            if (m_data.empty() || m_data.back().size() == internal::MaxPartSize) {
                m_data.emplace_back().reserve(internal::MaxPartSize);
            }
            const std::size_t remaining = internal::MaxPartSize - m_data.back().size();
            m_data.back() += chunk.substr(0, remaining);
            chunk.remove_prefix(std::min(remaining, chunk.size()));
        }
    });
    m_digest = digest.finish();
}

std::string SnapshotParts::takeNext()
{
    const std::size_t index = m_taken++;
    return internal::encodePart({ m_next, m_digest, index, m_data.size(), std::move(m_data[index]) });
}

Offset SnapshotParts::next() const
{
    return m_next;
}

std::size_t SnapshotParts::count() const
{
    return m_data.size();
}

std::size_t SnapshotParts::taken() const
{
    return m_taken;
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

// A part of a foreign snapshot that claims to belong here would give a table that nobody ever had.
bool SnapshotAssembler::isComplete(const Key &key, const Parts &parts) const
{
    if (parts.data.size() != parts.count) {
        return false;
    }
    internal::IncrementalDigest digest;
    for (const auto &[index, data] : parts.data) {
        digest.update(data);
    }
    return digest.finish() == key.second;
}

std::optional<SnapshotAssembler::Snapshot> SnapshotAssembler::newest() const
{
    for (auto snapshot = m_snapshots.rbegin(); snapshot != m_snapshots.rend(); ++snapshot) {
        if (isComplete(snapshot->first, snapshot->second)) {
            std::string bytes;
            for (const auto &[index, data] : snapshot->second.data) {
                bytes += data;
            }
            return Snapshot { snapshot->first.first, std::move(bytes) };
        }
    }
    return std::nullopt;
}

std::optional<std::vector<std::string>> SnapshotAssembler::takeNewest()
{
    for (auto snapshot = m_snapshots.rbegin(); snapshot != m_snapshots.rend(); ++snapshot) {
        if (isComplete(snapshot->first, snapshot->second)) {
            std::vector<std::string> pieces;
            for (auto &[index, data] : snapshot->second.data) {
                pieces.push_back(std::move(data));
            }
            m_snapshots.clear();
            return pieces;
        }
    }
    return std::nullopt;
}

} // namespace mulberryplank
