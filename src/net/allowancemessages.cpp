#include "mulberryplank/net/allowancemessages.h"

#include <cmath>

#include <cereal/types/string.hpp>

#include "mulberryplank/net/cerealcodec.h"

namespace mulberryplank
{

template<typename Archive>
void save(Archive &archive, const AllowanceMessage &message)
{
    archive(message.account.value(), message.number, message.least, message.amount);
}

template<typename Archive>
void load(Archive &archive, AllowanceMessage &message)
{
    std::string account;
    archive(account, message.number, message.least, message.amount);
    message.account = AccountName(std::move(account));
}

// The priority follows the rest unless it is 0: processes of earlier versions ignore what follows, and send none.
std::string encode(const AllowanceMessage &message)
{
    std::string bytes = cerealEncode(message);
    if (message.priority != 0) {
        bytes += cerealEncode(message.priority);
    }
    return bytes;
}

Result<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes)
{
    Result<AllowanceMessage> message = cerealDecode<AllowanceMessage>(bytes);
    if (message) {
        const std::size_t size = cerealEncode(*message).size();
        if (bytes.size() > size) {
            const Result<std::uint32_t> priority = cerealDecode<std::uint32_t>(bytes.substr(size));
            if (!priority) {
                return failure(priority.error().kind, priority.error().detail);
            }
            message->priority = *priority;
        }
    }
    const auto isAmount = [](double amount) {
        return std::isfinite(amount) && amount >= 0;
    };
    if (message && !(isAmount(message->least) && isAmount(message->amount))) {
        return failure(ErrorKind::BadRequest, "amount of allowance is not a number of requests");
    }
    return message;
}

} // namespace mulberryplank
