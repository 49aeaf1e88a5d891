"""Description of the operators' interface, as OpenAPI."""


def _operation(summary, *, writes=False, body=""):
    """Return one operation."""
    answers = {
        "200": {"description": "Done."},
        "401": {"description": "No team has this token."},
        "503": {"description": "The platform does not answer."},
    }
    if writes:
        answers["202"] = {"description": "Written, not judged yet."}
        answers["409"] = {"description": "Refused; line and reason follow."}
    operation = {"summary": summary, "responses": answers}
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
    """Return one optional query parameter."""
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
                "Judge a file without writing it.",
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
            "get": _operation("Show which file set which field."),
        },
        "/v1/status": {"get": _operation("Show the state of all hosts.")},
        "/v1/data-centres/{name}": {
            "parameters": [_NAME],
            "delete": _operation("Take off a data centre that is gone."),
        },
        "/v1/timeline": {
            "parameters": [_query("request")],
            "get": _operation("Show the events of all processes."),
        },
    },
}
"""The description, as plain mappings."""
