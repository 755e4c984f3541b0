#include "mulberryplank/net/budgetmessages.h"

#include <cereal/types/string.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void save(Archive &archive, const BudgetMessage &message)
{
    archive(message.service.value(), message.requestNumber);
}

template<typename Archive>
void load(Archive &archive, BudgetMessage &message)
{
    std::string service;
    archive(service, message.requestNumber);
    message.service = ServiceName(std::move(service));
}

std::string encode(const BudgetMessage &message)
{
    return cerealEncode(message);
}

Result<BudgetMessage> decodeBudgetMessage(std::string_view bytes)
{
    return cerealDecode<BudgetMessage>(bytes);
}

} // namespace mulberryplank
