"""OpenAPI description of the administration API."""


def _operation(summary, *, writes=False, body=""):
    """Return an operation object.

    Args:
        summary: Summary of the operation.
        writes: Whether it may be accepted or rejected by validation.
        body: Content type of the request body, or an empty string.
    """
    responses = {
        "200": {"description": "Done."},
        "401": {"description": "The token belongs to no team."},
        "503": {"description": "The platform does not respond."},
    }
    if writes:
        responses["202"] = {"description": "Written; the verdict is pending."}
        responses["409"] = {
            "description": "Rejected; the body gives line and reason."
        }
    operation = {"summary": summary, "responses": responses}
    if body:
        operation["requestBody"] = {
            "content": {body: {"schema": {"type": "string"}}}
        }
    return operation


_NAME = {
    "name": "name",
    "in": "path",
    "required": True,
    "schema": {"type": "string"},
}


def _query(name):
    """Return an optional query parameter of type string."""
    return {"name": name, "in": "query", "schema": {"type": "string"}}


OPENAPI = {
    "openapi": "3.1.0",
    "info": {"title": "hyssopspring administration", "version": "1"},
    "security": [{"token": []}],
    "components": {
        "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}}
    },
    "paths": {
        "/v1/files": {"get": _operation("List all files with verdicts.")},
        "/v1/files/{name}": {
            "parameters": [_NAME],
            "get": _operation("Show a file with its verdict."),
            "put": _operation(
                "Write a file and wait for its verdict.",
                writes=True,
                body="application/yaml",
            ),
            "delete": _operation(
                "Remove a file and wait for the verdict.", writes=True
            ),
        },
        "/v1/check/{name}": {
            "parameters": [_NAME],
            "post": _operation(
                "Validate a file without writing it.",
                writes=True,
                body="application/yaml",
            ),
        },
        "/v1/explain": {
            "parameters": [
                _query("workspace"),
                _query("model"),
                _query("service"),
            ],
            "get": _operation("Show which file sets each field."),
        },
        "/v1/status": {"get": _operation("Show the state of all hosts.")},
        "/v1/data-centres/{name}": {
            "parameters": [_NAME],
            "delete": _operation(
                "Remove a data centre that no longer exists."
            ),
        },
        "/v1/timeline": {
            "parameters": [_query("request")],
            "get": _operation("Show the event logs of all processes."),
        },
    },
}
"""The OpenAPI document, as plain mappings."""
