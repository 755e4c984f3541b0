#include "mulberryplank/state/grant.h"

namespace mulberryplank
{

void deliverAll(Deliveries deliveries)
{
    for (Delivery &delivery : deliveries) {
        delivery.waiter->deliver(std::move(delivery.admitted));
    }
}

} // namespace mulberryplank
