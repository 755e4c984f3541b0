#include "mulberryplank/net/allowancemessages.h"

#include <cmath>

#include <cereal/types/string.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

// The priority follows the rest unless it is 0: processes of earlier versions ignore what follows, and send none.
template<typename Archive>
void save(Archive &archive, const AllowanceMessage &message)
{
    archive(message.account.value(), message.number, message.least, message.amount);
    if (message.priority != 0) {
        archive(message.priority);
    }
}

template<typename Archive>
void load(Archive &archive, AllowanceMessage &message)
{
    std::string account;
    archive(account, message.number, message.least, message.amount);
    message.account = AccountName(std::move(account));
    if (archive.hasMore()) {
        archive(message.priority);
    }
}

std::string encode(const AllowanceMessage &message)
{
    return cerealEncode(message);
}

Result<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes)
{
    Result<AllowanceMessage> message = cerealDecode<AllowanceMessage>(bytes);
    const auto isAmount = [](double amount) {
        return std::isfinite(amount) && amount >= 0;
    };
    if (message && !(isAmount(message->least) && isAmount(message->amount))) {
        return failure(ErrorKind::BadRequest, "amount of allowance is not a number of requests");
    }
    return message;
}

} // namespace mulberryplank
