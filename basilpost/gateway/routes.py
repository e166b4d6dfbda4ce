"""The HTTP routes that the gateway offers to callers."""

import tornado.web

from basilpost.gateway import completions, context, pages, services


def application(context: context.Context) -> tornado.web.Application:
    """Returns the Tornado application that serves callers."""
    shared = {"context": context}
    return tornado.web.Application(
        [
            (r"/healthz", pages.AliveHandler, shared),
            (r"/readyz", pages.ReadyHandler, shared),
            (r"/v1/models", pages.ModelsHandler, shared),
            (r"/v1/chat/completions", completions.CompletionHandler, shared),
            (r"/services/([A-Za-z0-9._-]+)/(.*)", services.ServiceHandler, shared),
        ],
        default_handler_class=pages.NoRouteHandler,
        default_handler_args=shared,
        log_function=lambda handler: None,
    )
