"""Sends a few requests to the demo system and prints the responses."""

import http.client
import sys
import time

SAMPLES = {
    "rosario": ("club-01", "catalogue", "/stock", "/orders"),
    "jalisco": ("taller-01", "padron", "/licences", "/certificates"),
}


def send(port, method, target, headers, body=""):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request(method, target, body=body, headers=headers)
    response = connection.getresponse()
    text = response.read().decode().strip()
    print(f"{method} {target} by entry {port}: {response.status}, "
          f"x-execution: {response.getheader('x-execution')}\n  {text}")


def main():
    workspace, service, read, write = SAMPLES[sys.argv[1]]
    key = {"authorization": f"Bearer demo-key-{workspace}"}
    part = {"x-partition-key": "club-7"}
    order = {"x-request-id": f"{int(time.time() * 1000)}-order-1"}
    print("== requests")
    send(18080, "GET", f"/{service}{read}/wax", {**key, **part})
    send(18081, "POST", f"/{service}{write}", {**key, **part, **order}, "12 tins")
    send(18082, "POST", f"/{service}{write}", {**key, **part, **order}, "12 tins")
    send(18080, "GET", f"/{service}{read}/wax", part)
    send(18080, "GET", f"/{service}/nothing", {**key, **part})


main()
