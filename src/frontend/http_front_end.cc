#include "frontend/http_front_end.h"

#include "citronfall/error_table.h"
#include "core/endpoint_address.h"
#include "frontend/caller_codec.h"
#include "frontend/caller_socket.h"
#include "frontend/operator_codec.h"
#include "frontend/request_framer.h"

#include <atomic>
#include <cctype>
#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

namespace citronfall {
namespace {

namespace http = Pistache::Http;
namespace tcp = Pistache::Tcp;

/// Maximum number of unanswered requests on a connection. A request beyond it is refused and the connection closed.
constexpr std::size_t max_pipelined = 32;

/// Effectively disables Pistache's timeouts, which would also apply to requests that are being executed. The responder
/// enforces the timeouts of slow senders and idle connections.
constexpr auto no_timeout = std::chrono::hours(24 * 365);

constexpr const char* input_key = "citronfall";

/// State that all copies of the handler share. All hooks are thread-safe.
struct shared_state {
    std::string operator_key;
    std::function<bool(decision_event)> submit;
    std::function<void(responder_message)> respond;
    std::atomic<request_handle> last_handle{0};
};

/// Input state of one connection. Owned by the connection's Pistache thread; the socket is shared with the responder.
struct connection_input {
    std::shared_ptr<caller_socket> socket;
    request_framer framer;
    bool partial_reported = false;
};

/// Header that carries the session token. Pistache writes only typed headers into a response, no raw ones.
class session_header : public http::Header::Header {
public:
    NAME("Citronfall-Session")

    explicit session_header(std::string token) : token_(std::move(token)) {}

    void write(std::ostream& out) const override { out << token_; }

private:
    std::string token_;
};

std::string lower(std::string text)
{
    for (char& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

http_request to_http_request(const http::Request& request)
{
    http_request_fields fields{
        .method = http::methodString(request.method()), .target = request.resource(), .body = request.body()};
    for (const auto& [header_name, header] : request.headers().rawList()) {
        fields.headers[lower(header_name)] = header.value();
    }
    return http_request{std::move(fields)};
}

/// Progress of a reply, shared by the sending thread and the thread on which Pistache reports completion.
struct send_status {
    enum class stage { sending, returned, delivered, rejected };
    std::atomic<stage> at{stage::sending};
};

void write_headers(http::ResponseWriter& writer, const http_reply& reply)
{
    for (const auto& [header_name, value] : reply->headers) {
        if (header_name == "connection") {
            writer.headers().add<http::Header::Connection>(value == "close" ? http::ConnectionControl::Close
                                                                            : http::ConnectionControl::KeepAlive);
        } else if (header_name == "citronfall-session") {
            writer.headers().add(std::make_shared<session_header>(value));
        }
    }
}

/// Passes a reply to Pistache, which is allowed on any thread. Calls `settled` if the reply completes after this
/// function has returned.
send_progress send_reply(http::ResponseWriter& writer, const http_reply& reply,
                         const std::function<void(bool delivered)>& settled)
{
    using stage = send_status::stage;
    const auto report = std::make_shared<send_status>();
    const auto end = [report, settled](stage reached) {
        if (report->at.exchange(reached) == stage::returned) {
            settled(reached == stage::delivered);
        }
    };
    write_headers(writer, reply);
    const auto type = reply->headers.find("content-type");
    const auto mime =
        type == reply->headers.end() ? MIME(Application, Json) : http::Mime::MediaType::fromString(type->second);
    try {
        writer.send(static_cast<http::Code>(reply->status), reply->body, mime)
            .then([end](ssize_t) { end(stage::delivered); }, [end](std::exception_ptr&) { end(stage::rejected); });
    } catch (const std::exception&) {
        return send_progress::rejected; // Pistache throws if the reply exceeds the maximum response size.
    }
    switch (report->at.exchange(stage::returned)) {
    case stage::delivered:
        return send_progress::delivered;
    case stage::rejected:
        return send_progress::rejected;
    case stage::sending:
    case stage::returned:
        break;
    }
    return send_progress::pending;
}

bool wants_close(const http::Request& request)
{
    const auto connection = request.headers().tryGet<http::Header::Connection>();
    if (connection) {
        return connection->control() == http::ConnectionControl::Close;
    }
    return request.version() != http::Version::Http11;
}

caller_answer failure(request_handle handle, error_kind kind, const std::string& detail)
{
    return caller_answer{{.handle = handle, .failure = kind, .detail = detail}};
}

/// Pistache's handler. Pistache makes a copy for each of its threads; the copies share the state.
///
/// Replaces Pistache's own input handling, which loses pipelined requests, with a request_framer.
class caller_handler : public http::Handler {
public:
    HTTP_PROTOTYPE(caller_handler)

    explicit caller_handler(std::shared_ptr<shared_state> state) : state_(std::move(state)) {}

    void onRequest(const http::Request&, http::ResponseWriter) override {}

    void onDisconnection(const std::shared_ptr<tcp::Peer>& peer) override
    {
        input_of(*peer).socket->close();
        state_->respond(closed_connection{.connection = peer->getID()});
    }

private:
    void onConnection(const std::shared_ptr<tcp::Peer>& peer) override
    {
        const auto parser = std::make_shared<http::RequestParser>(getMaxRequestSize());
        const auto socket = std::make_shared<caller_socket>(peer->fd());
        peer->putData(ParserData, parser);
        peer->putData(input_key, std::make_shared<connection_input>(connection_input{
                                     .socket = socket, .framer = request_framer(*parser, getMaxRequestSize())}));
        state_->respond(opened_connection{.connection = peer->getID(),
                                          .shut_down = [socket](shutdown_extent extent) { socket->shut_down(extent); },
                                          .send_timeout = sender(peer, socket, http::Version::Http11)});
    }

    void onInput(const char* buffer, std::size_t length, const std::shared_ptr<tcp::Peer>& peer) override
    {
        connection_input& input = input_of(*peer);
        std::string_view rest(buffer, length);
        while (!rest.empty() && input.socket->reading()) {
            switch (input.framer.consume(rest)) {
            case framing_result::incomplete:
                break;
            case framing_result::complete:
                handle_request(peer, input);
                input.framer.restart();
                input.partial_reported = false;
                break;
            case framing_result::malformed:
                refuse(peer, input, *input.framer.problem());
                return;
            }
        }
        if (input.framer.started() && !input.partial_reported) {
            input.partial_reported = true;
            state_->respond(partial_request{.connection = peer->getID()});
        }
    }

    static connection_input& input_of(const tcp::Peer& peer)
    {
        return *std::static_pointer_cast<connection_input>(peer.getData(input_key));
    }

    /// Returns the hook that sends one reply on the connection.
    std::function<send_progress(const http_reply&)>
    sender(const std::shared_ptr<tcp::Peer>& peer, const std::shared_ptr<caller_socket>& socket, http::Version version)
    {
        const auto writer = std::make_shared<http::ResponseWriter>(version, transport(), this, peer);
        return [writer, socket, state = state_, connection = peer->getID()](const http_reply& reply) {
            return socket->send([&] {
                return send_reply(*writer, reply, [state, connection](bool delivered) {
                    state->respond(sent_reply{.connection = connection, .delivered = delivered});
                });
            });
        };
    }

    /// Registers a request with the responder and returns its handle.
    request_handle open_request(const std::shared_ptr<tcp::Peer>& peer, connection_input& input, http::Version version,
                                bool last)
    {
        const request_handle handle = ++state_->last_handle;
        if (last) {
            input.socket->stop_reading();
        }
        ++input.socket->unanswered();
        state_->respond(opened_request{
            .handle = handle,
            .connection = peer->getID(),
            .send =
                [send = sender(peer, input.socket, version), socket = input.socket](const http_reply& reply) {
                    --socket->unanswered();
                    return send(reply);
                },
            .last = last});
        return handle;
    }

    void refuse(const std::shared_ptr<tcp::Peer>& peer, connection_input& input, const error& problem)
    {
        reply(failure(open_request(peer, input, http::Version::Http11, true), problem->kind, problem->detail));
    }

    void handle_request(const std::shared_ptr<tcp::Peer>& peer, connection_input& input)
    {
        const http::Request& request = getParser(peer)->request;
        if (input.socket->unanswered() >= max_pipelined) {
            refuse(peer, input,
                   error{{.kind = error_kind::overloaded, .detail = "too many requests wait on the connection"}});
            return;
        }
        dispatch(to_http_request(request), open_request(peer, input, request.version(), wants_close(request)));
    }

    void dispatch(const http_request& message, request_handle handle)
    {
        if (message->method == "GET" && message->target == "/health") {
            submit(report_request{{.handle = handle, .kind = report_kind::health}}, handle);
        } else if (message->method == "GET" && message->target == "/metrics") {
            submit(report_request{{.handle = handle, .kind = report_kind::metrics}}, handle);
        } else if (operator_codec::serves(message)) {
            dispatch_operator_request(message, handle);
        } else {
            auto request = caller_codec::decode(message, handle, steady_now());
            if (ok(request)) {
                submit(take(std::move(request)), handle);
            } else {
                reply(failure(handle, error_of(request)->kind, error_of(request)->detail));
            }
        }
    }

    void dispatch_operator_request(const http_request& message, request_handle handle)
    {
        const auto operator_request = operator_codec::decode(message, handle, state_->operator_key);
        if (!ok(operator_request)) {
            reply(failure(handle, error_of(operator_request)->kind, error_of(operator_request)->detail));
            return;
        }
        submit(value_of(operator_request), handle);
    }

    void submit(decision_event event, request_handle handle)
    {
        if (!state_->submit(std::move(event))) {
            reply(failure(handle, error_kind::overloaded, "the event ring is full"));
        }
    }

    void reply(const caller_answer& answer)
    {
        state_->respond(immediate_reply{.handle = answer->handle,
                                        .reply = caller_codec::encode(answer),
                                        .kind = answer->failure.value_or(error_kind::internal)});
    }

    std::shared_ptr<shared_state> state_;
};

} // namespace

class http_front_end::impl {
public:
    explicit impl(http_front_end_options options)
        : settings_(std::move(options.settings)), max_response_bytes_(options.max_response_bytes),
          state_(std::make_shared<shared_state>())
    {
        state_->operator_key = settings_->operator_key;
        state_->submit = std::move(options.submit);
        state_->respond = std::move(options.respond);
    }

    result<done> start()
    {
        const auto address = endpoint_address::make(settings_->listen);
        if (!ok(address)) {
            return error_of(address);
        }
        try {
            endpoint_.emplace(Pistache::Address(value_of(address)->host, Pistache::Port(value_of(address)->port)));
            endpoint_->init(http::Endpoint::options()
                                .threads(static_cast<int>(settings_->threads))
                                .flags(tcp::Options::ReuseAddr | tcp::Options::NoDelay)
                                .maxRequestSize(settings_->max_request_bytes)
                                .maxResponseSize(max_response_bytes_)
                                .headerTimeout(no_timeout)
                                .bodyTimeout(no_timeout)
                                .keepaliveTimeout(no_timeout));
            endpoint_->setHandler(std::make_shared<caller_handler>(state_));
            endpoint_->serveThreaded();
        } catch (const std::exception& problem) {
            return error{{.kind = error_kind::bad_request,
                          .detail = "cannot listen on " + settings_->listen + ": " + problem.what()}};
        }
        return done{};
    }

    void stop()
    {
        if (endpoint_) {
            endpoint_->shutdown();
            endpoint_.reset();
        }
    }

private:
    daemon_settings settings_;
    std::size_t max_response_bytes_;
    std::shared_ptr<shared_state> state_;
    std::optional<http::Endpoint> endpoint_;
};

http_front_end::http_front_end(http_front_end_options options) : impl_(std::make_unique<impl>(std::move(options))) {}

http_front_end::~http_front_end()
{
    impl_->stop();
}

result<done> http_front_end::start()
{
    return impl_->start();
}

void http_front_end::stop()
{
    impl_->stop();
}

} // namespace citronfall
