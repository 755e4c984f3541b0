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

// What became of one record of the log.
enum class EditStatus : std::uint8_t {
    Accepted,
    Conflict, // the edit was based on a version that is no longer current
    Invalid, // the edit would leave the table wrong, such as a row of an account that doesn't exist
    Repeated, // an edit with this id was decided before; its first outcome stands
    Unreadable, // the record doesn't parse, or has a newer format
};

std::string_view toString(EditStatus status);
std::optional<EditStatus> editStatusFromString(std::string_view name);

// The outcome of one edit: the same for every reader of the log.
struct EditOutcome {
    EditId id;
    Offset offset = 0;
    EditStatus status = EditStatus::Unreadable;
    std::string detail; // for people; empty when accepted

    bool operator==(const EditOutcome &) const = default;
};

// SHA-256 of one record of the log. Tells two logs apart that have a record at the same offset.
using RecordDigest = std::array<std::uint8_t, 32>;

RecordDigest digestOfRecord(std::string_view record);

// How many decided edits a table remembers by their ids. At 29,000 edits a day that is more than three hours; an edit
// that comes again later than that is refused by its versions, unless the item is gone and it would create it.
inline constexpr std::size_t MaxRememberedEdits = 4'096;

// The operators' configuration as a deterministic fold of the log: readers that have applied the same records hold the
// same table, whichever way the records reached them. Not synchronized.
class ConfigTable
{
public:
    ConfigTable();
    ~ConfigTable();
    ConfigTable(ConfigTable &&) noexcept;
    ConfigTable &operator=(ConfigTable &&) noexcept;
    ConfigTable(const ConfigTable &) = delete;
    ConfigTable &operator=(const ConfigTable &) = delete;

    // Returns the offset of the first record not applied yet. Never decreases.
    Offset nextOffset() const;

    // Returns the digest of the record before nextOffset(), whether or not it could be read; all zeros before the
    // first.
    const RecordDigest &lastRecordDigest() const;

    // Applies the record at `offset`, which must be nextOffset(): a record before it is already in force, and one after
    // it would leave a gap; both change nothing and return Conflict. Takes time in proportion to the edit, not to the
    // table.
    Result<EditOutcome> apply(Offset offset, std::string_view record);

    // Each returns nullptr, or nothing, when there is no such item. Pointers stay valid until the next apply(). Rows
    // are kept packed, since there are as many as accounts, and are returned by value.
    const Account *account(const AccountName &name) const;
    const Service *service(const ServiceName &name) const;
    const Target *target(const TargetName &name) const;
    std::optional<Row> row(const AccountName &account, const ServiceName &service) const;

    // Each returns items in order of name.
    std::vector<const Account *> accounts() const;
    std::vector<const Service *> services() const;
    std::vector<const Target *> targetsOf(const ServiceName &service) const;
    std::vector<Row> rowsOf(const ServiceName &service) const;

    // Returns all rows in order of account, then service. A copy of the whole table: for operators, not for requests.
    std::vector<Row> rows() const;

    // Returns the services that `account` has a row for, in order of name. Takes time in proportion to the services.
    std::vector<ServiceName> servicesOf(const AccountName &account) const;

    // Returns what became of the edit, if it is one of the last MaxRememberedEdits that were decided.
    std::optional<EditOutcome> outcomeOf(const EditId &id) const;

    // Returns false if this table surely comes from another log than `older`, which has applied fewer records: the last
    // edit that `older` decided is missing here, though this table remembers edits as old as that one.
    bool mayShareLogWith(const ConfigTable &older) const;

    // Returns the SHA-256, in hexadecimal, of the table's content: equal at equal nextOffset().
    std::string digest() const;

    // Returns the whole table as bytes: the same bytes at the same offset on every reader.
    std::string snapshot() const;

    // Passes the bytes of snapshot() to `sink` piece by piece, without holding them all.
    void writeSnapshot(const std::function<void(std::string_view)> &sink) const;

    // Returns the table that snapshot() wrote, or BadConfiguration.
    static Result<ConfigTable> fromSnapshot(std::string_view bytes);

    // Likewise of a snapshot that was cut into pieces anywhere. Each piece is freed once it is read, so that the
    // snapshot and the table don't take their full memory at the same time.
    static Result<ConfigTable> fromSnapshot(std::vector<std::string> pieces);

private:
    using PieceSink = std::function<void(std::string_view)>;

    // Reads what `source` passes on piece by piece.
    static Result<ConfigTable> readSnapshot(const std::function<void(const PieceSink &)> &source);

    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace mulberryplank
