#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// What the configuration says of one service at one offset. Never changes.
struct ServiceView : boost::intrusive_ref_counter<ServiceView> {
    Service service;
    std::vector<Target> targets;
    std::vector<Row> rows;
};

using ServiceViewPtr = boost::intrusive_ptr<const ServiceView>;

// The process's configuration under its lock. Requests read immutable views, which stay valid however long they are
// kept.
class ConfigState
{
public:
    ConfigState() = default;
    ConfigState(const ConfigState &) = delete;
    ConfigState &operator=(const ConfigState &) = delete;

    // Applies one record, as ConfigTable::apply() does.
    Result<EditOutcome> apply(Offset offset, std::string_view record);

    ServiceViewPtr service(const ServiceName &name) const;
    std::optional<SecretDigest> accountDigest(const AccountName &name) const;
    Offset applied() const;

private:
    mutable std::mutex m_mutex;
    ConfigTable m_table;
};

} // namespace mulberryplank
