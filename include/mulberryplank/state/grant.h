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

// Identifies one attempt of a request within a process.
using RequestId = std::uint64_t;

// Permission to send one attempt of a request to a target. Every grant must be returned with ServiceState::finish().
struct Grant {
    RequestId request = 0;
    TargetIndex target = 0;
    TargetName targetName;
    Endpoint endpoint;
};

// The parameters of an attempt that needs a grant.
struct Admission {
    AccountName account;
    std::uint16_t route = NoRoute;
    bool idempotent = false;
    Instant deadline {};
    std::vector<TargetIndex> excluded; // must not be chosen
    bool extra = false; // a retry, hedge or resume: charged as slot time, not counted against the request rate
    std::optional<TargetIndex> only; // must be chosen if it still exists
};

// Why an attempt was rejected, and when to retry.
struct Refusal {
    ErrorKind kind = ErrorKind::Internal;
    int retryAfterSeconds = 0;
};

using AdmissionResult = tl::expected<Grant, Refusal>;

// An attempt in a service's queue. deliver() is called once, when the attempt may start or is rejected. It may be
// called from any thread, and no locks are held during the call.
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

// A result and the waiter that receives it. Commands return deliveries so that results are handed over after the lock
// is released.
struct Delivery {
    WaiterPtr waiter;
    AdmissionResult admitted;
};

using Deliveries = std::vector<Delivery>;

// Hands over all deliveries. Must be called without locks held.
void deliverAll(Deliveries deliveries);

} // namespace mulberryplank
