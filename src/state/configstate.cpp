#include "mulberryplank/state/configstate.h"

namespace mulberryplank
{

Result<EditOutcome> ConfigState::apply(Offset offset, std::string_view record)
{
    const std::lock_guard lock(m_mutex);
    return m_table.apply(offset, record);
}

ServiceViewPtr ConfigState::service(const ServiceName &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto service = m_table.service(name);
    if (!service) {
        return nullptr;
    }
    auto *view = new ServiceView;
    view->service = *service;
    for (const auto &target : m_table.targetsOf(name)) {
        view->targets.push_back(*target);
    }
    for (const auto &row : m_table.rowsOf(name)) {
        view->rows.push_back(row);
    }
    return ServiceViewPtr(view);
}

std::optional<SecretDigest> ConfigState::accountDigest(const AccountName &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto account = m_table.account(name);
    if (!account) {
        return std::nullopt;
    }
    return account->secretDigest;
}

Offset ConfigState::applied() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.nextOffset();
}

} // namespace mulberryplank
