#include "http/http_message.h"

#include <cctype>
#include <utility>

#include <boost/beast/http.hpp>

namespace citronfall {

namespace http = boost::beast::http;

http::request<http::string_body> http_message(const http_request& request, const std::string& host)
{
    http::request<http::string_body> message(http::string_to_verb(request->method), request->target, 11);
    message.set(http::field::host, host);
    message.set(http::field::connection, "keep-alive");
    message.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : request->headers) {
        message.set(name, value);
    }
    message.body() = request->body;
    message.prepare_payload();
    return message;
}

http_reply http_reply_of(http::response<http::string_body>& message)
{
    http_reply_fields fields{.status = static_cast<int>(message.result_int()), .body = std::move(message.body())};
    for (const auto& header : message) {
        std::string name(header.name_string());
        for (char& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        fields.headers[name] = std::string(header.value());
    }
    return http_reply{std::move(fields)};
}

} // namespace citronfall
