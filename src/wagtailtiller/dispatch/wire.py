"""gRPC method names and channel options for calls to dispatchers."""

SERVICE = "wagtailtiller.Peers"
EXCHANGE = f"/{SERVICE}/Exchange"
DRAIN_STATE = f"/{SERVICE}/DrainState"
LOADS = f"/{SERVICE}/Loads"

_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)
