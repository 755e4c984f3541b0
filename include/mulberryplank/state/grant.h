#pragma once

#include <functional>
#include <optional>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/member.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// Names one attempt of a request within one process.
using RequestId = std::uint64_t;

// Leave to send one attempt of a request to a target. Every grant is given back with ServiceState::finish().
struct Grant {
    RequestId request = 0;
    TargetIndex target = 0;
    TargetName targetName;
    Endpoint endpoint;
};

// What an attempt asks of its service.
struct Admission {
    AccountName account;
    std::uint16_t route = NoRoute;
    bool idempotent = false;
    Instant deadline {};
    std::vector<TargetIndex> excluded; // not to be chosen
    bool extra = false; // a retry, hedge or resume: counts as slot-time, not as another request of the rate
    std::optional<TargetIndex> only; // the one to be chosen, if it is still there
};

// Why an attempt was not let through, and when to come again.
struct Refusal {
    ErrorKind kind = ErrorKind::Internal;
    int retryAfterSeconds = 0;
};

using AdmissionResult = tl::expected<Grant, Refusal>;

// An attempt in a service's queue. deliver() is called once, from any thread and without locks held, when the attempt
// may start or has been refused.
class Waiter : public boost::intrusive_ref_counter<Waiter>
{
public:
    explicit Waiter(std::function<void(AdmissionResult)> deliver)
        : m_deliver(std::move(deliver))
    {
    }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;

    void deliver(AdmissionResult admitted)
    {
        m_deliver(std::move(admitted));
    }

private:
    std::function<void(AdmissionResult)> m_deliver;
};

using WaiterPtr = boost::intrusive_ptr<Waiter>;

// A result on its way to the waiter it is for. Commands return these, so that they are handed over after the lock has
// been released.
struct Delivery {
    WaiterPtr waiter;
    AdmissionResult admitted;
};

using Deliveries = std::vector<Delivery>;

// Hands all deliveries over. To be called without locks held.
void deliverAll(Deliveries deliveries);

} // namespace mulberryplank
