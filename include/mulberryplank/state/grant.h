#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/policy/member.h"
#include "mulberryplank/policy/targethealth.h"

namespace mulberryplank
{

// Names one admitted request within one process.
using RequestId = std::uint64_t;

// Leave to send one attempt of a request to a target. Every grant is given back with ServiceState::finish().
struct Grant {
    RequestId request = 0;
    TargetIndex target = 0;
    TargetName targetName;
    Endpoint endpoint;
    std::uint32_t connections = 1; // the most that this process may hold open to the target
};

// What a request asks of its service.
struct Admission {
    AccountName account;
    std::uint16_t route = NoRoute;
    bool idempotent = false;
    Instant deadline {};
};

// A request in a service's queue. `deliver` is called once, from any thread and without locks held, when the request
// may start or has been refused.
class Waiter : public boost::intrusive_ref_counter<Waiter>
{
public:
    explicit Waiter(std::function<void(Result<Grant>)> deliver)
        : m_deliver(std::move(deliver))
    {
    }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;

    void deliver(Result<Grant> result)
    {
        m_deliver(std::move(result));
    }

private:
    std::function<void(Result<Grant>)> m_deliver;
};

// A result on its way to the waiter it is for. Commands return these, so that the caller hands them over after the lock
// has been released.
struct Delivery {
    boost::intrusive_ptr<Waiter> waiter;
    Result<Grant> result;
};

using Deliveries = std::vector<Delivery>;

} // namespace mulberryplank
