#pragma once

namespace citronfall::standin {

/// How a connection ended, as a client sees it.
enum class connection_end {
    open,   ///< It has not ended.
    closed, ///< The peer has closed it.
    reset,  ///< The peer has reset it.
};

} // namespace citronfall::standin
