#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/policy/edit.h"

namespace mulberryplank
{

// Result of applying one record of the log.
enum class EditStatus : std::uint8_t {
    Accepted,
    Conflict, // the edit was based on a version that is no longer current
    Invalid, // the edit would make the table inconsistent, such as a row of an account that doesn't exist
    Repeated, // an edit with this id was decided before; its first outcome remains
    Unreadable, // the record can't be parsed, or has a newer format
};

std::string_view toString(EditStatus status);
std::optional<EditStatus> editStatusFromString(std::string_view name);

// The outcome of one edit, which is the same for every process that reads the log.
struct EditOutcome {
    EditId id;
    Offset offset = 0;
    EditStatus status = EditStatus::Unreadable;
    std::string detail; // human-readable; empty when accepted

    bool operator==(const EditOutcome &) const = default;
};

// SHA-256 of one record of the log. Distinguishes two logs that both have a record at an offset.
using RecordDigest = std::array<std::uint8_t, 32>;

RecordDigest digestOfRecord(std::string_view record);

// Maximum number of decided edits whose ids a table remembers. At 29,000 edits a day this covers more than three hours.
// An edit that is repeated later is rejected because of its versions, unless it creates an item that was removed since.
inline constexpr std::size_t MaxRememberedEdits = 4'096;

// The operators' configuration, built by applying the records of the log in order. Deterministic: processes that have
// applied the same records have the same table, independent of how they received the records. Thread-compatible.
class ConfigTable
{
public:
    ConfigTable();
    ~ConfigTable();
    ConfigTable(ConfigTable &&) noexcept;
    ConfigTable &operator=(ConfigTable &&) noexcept;
    ConfigTable(const ConfigTable &) = delete;
    ConfigTable &operator=(const ConfigTable &) = delete;

    // Returns the offset of the next record to apply. Never decreases.
    Offset nextOffset() const;

    // Returns the digest of the record before nextOffset(), even if it was unreadable. All zeros before the first
    // record.
    const RecordDigest &lastRecordDigest() const;

    // Applies the record at `offset`. Returns Conflict and changes nothing unless `offset` is nextOffset(): an earlier
    // record was applied already, and a later one would leave a gap. Takes time in proportion to the size of the edit,
    // not of the table.
    Result<EditOutcome> apply(Offset offset, std::string_view record);

    // Each returns nullptr or nullopt if there is no such item. Pointers are valid until the next apply(). Rows are
    // returned by value because they are stored in packed form, since there are as many as accounts.
    const Account *account(const AccountName &name) const;
    const Service *service(const ServiceName &name) const;
    const Target *target(const TargetName &name) const;
    std::optional<Row> row(const AccountName &account, const ServiceName &service) const;

    // Each returns items ordered by name.
    std::vector<const Account *> accounts() const;
    std::vector<const Service *> services() const;
    std::vector<const Target *> targetsOf(const ServiceName &service) const;
    std::vector<Row> rowsOf(const ServiceName &service) const;

    // Returns all rows ordered by account, then service. Copies the whole table: for operators, not for use per
    // request.
    std::vector<Row> rows() const;

    // Returns the services for which `account` has a row, ordered by name. Takes time linear in the number of services.
    std::vector<ServiceName> servicesOf(const AccountName &account) const;

    // Returns the outcome of the edit if it is one of the last MaxRememberedEdits decided edits.
    std::optional<EditOutcome> outcomeOf(const EditId &id) const;

    // Returns false if this table certainly comes from another log than `older`, which has applied fewer records. That
    // is the case if this table remembers edits as old as the last one that `older` decided, but not that edit.
    bool mayShareLogWith(const ConfigTable &older) const;

    // Returns the SHA-256 of the table's content in hexadecimal. Tables of one log with equal nextOffset() have equal
    // digests.
    std::string digest() const;

    // Returns the serialized table. The bytes are the same in every process at the same offset.
    std::string snapshot() const;

    // Passes the bytes of snapshot() to `sink` piece by piece, without keeping all of them in memory.
    void writeSnapshot(const std::function<void(std::string_view)> &sink) const;

    // Returns the table serialized by snapshot(), or BadConfiguration.
    static Result<ConfigTable> fromSnapshot(std::string_view bytes);

    // As above, for a snapshot that was split into pieces at any position. Each piece is freed once it is read, so that
    // the snapshot and the table don't both use their full memory at the same time.
    static Result<ConfigTable> fromSnapshot(std::vector<std::string> pieces);

private:
    using PieceSink = std::function<void(std::string_view)>;

    // Reads a snapshot from the pieces that `source` passes to its argument.
    static Result<ConfigTable> readSnapshot(const std::function<void(const PieceSink &)> &source);

    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace mulberryplank
