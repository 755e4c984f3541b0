#pragma once

#include <cstdint>
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

// The outcome of one edit: the same for every reader of the log.
struct EditOutcome {
    EditId id;
    Offset offset = 0;
    EditStatus status = EditStatus::Unreadable;
    std::string detail; // for people; empty when accepted
};

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

    // Applies the record at `offset`, which must be nextOffset(): a record before it is already in force, and one after
    // it would leave a gap; both change nothing and return an error.
    Result<EditOutcome> apply(Offset offset, std::string_view record);

    // Each returns nullptr when there is no such item. Pointers stay valid until the next apply().
    const Account *account(const AccountName &name) const;
    const Service *service(const ServiceName &name) const;
    const Target *target(const TargetName &name) const;
    const Row *row(const AccountName &account, const ServiceName &service) const;

    // Each returns items in order of name.
    std::vector<const Account *> accounts() const;
    std::vector<const Service *> services() const;
    std::vector<const Target *> targetsOf(const ServiceName &service) const;
    std::vector<const Row *> rowsOf(const ServiceName &service) const;
    std::vector<const Row *> rows() const;

    // Returns what became of the edit, if it was decided within the remembered past.
    std::optional<EditOutcome> outcomeOf(const EditId &id) const;

    // Returns the SHA-256, in hexadecimal, of the table's content: equal at equal nextOffset().
    std::string digest() const;

    // Returns the whole table as bytes: the same bytes at the same offset on every reader.
    std::string snapshot() const;

    // Returns the table that snapshot() wrote, or BadConfiguration.
    static Result<ConfigTable> fromSnapshot(std::string_view bytes);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace mulberryplank
