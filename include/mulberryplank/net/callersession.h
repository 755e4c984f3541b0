#pragma once

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "mulberryplank/net/callercontext.h"
#include "mulberryplank/net/exchange.h"
#include "mulberryplank/net/worker.h"

namespace mulberryplank
{

// One connection from a caller. Reads its requests one at a time and responds to each, so that pipelined requests get
// their responses in order.
class CallerSession
{
public:
    CallerSession(DataSocket socket, Worker &worker, CallerContext &context);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    // Runs until the connection ends.
    DataAwaitable<void> run();

private:
    // The request that serveOne() processes.
    struct Request {
        explicit Request(const CallerLimits &limits);

        RequestParser parser;
        std::string id;
        std::string body;
        BufferLease bodyLease; // of `body`
        bool bodyComplete = false;
        bool expectsContinue = false;
        bool keepAlive = false;
        bool head = false;
        Instant arrived {};
        AccountName account;
        ServiceName service;
        std::string path; // as sent to the target
    };

    DataAwaitable<bool> serveOne();
    DataAwaitable<Result<void>> readBody(Request &request, Instant deadline, bool keyed);
    DataAwaitable<Result<void>> readWholeBody(Request &request, Instant deadline, std::size_t maxSize);
    DataAwaitable<bool> refuse(const Request &request, const Error &error);
    DataAwaitable<bool> respond(const Request &request, LocalResponse response);
    DataAwaitable<bool> relay(Request &request);
    DataAwaitable<bool> relayAtMostOnce(Request &request, ExchangeRequest exchange, std::string key);
    DataAwaitable<bool> runExchange(Request &request, ExchangeRequest exchange);
    DataAwaitable<bool> finishRequest(Request &request, const ExchangeResult &end);
    DataAwaitable<bool> respondToDecision(const Request &request, const AtMostOnceDecision &decision);
    DataAwaitable<bool> forwardToPeer(Request &request, ExchangeRequest exchange, Endpoint peer);
    DataAwaitable<bool> serveInternal(Request &request);
    Result<void> identify(Request &request);
    Result<void> countConnection(const AccountName &account);
    Result<ExchangeRequest> prepare(Request &request);
    Result<void> splitTarget(Request &request) const;

    Worker &m_worker;
    CallerContext &m_context;
    HttpStream m_stream;
    std::string m_verifiedAuthorization; // the last Authorization value that was verified
    SecretDigest m_verifiedDigest {}; // the digest that it matched
    AccountName m_countedAccount; // the account of this connection; empty until authenticated
    bool m_responded = false; // the last action was a response
};

} // namespace mulberryplank
