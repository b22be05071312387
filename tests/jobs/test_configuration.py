from chervilcove.jobs import configuration

CONFIG = configuration.Configuration(
    version=3,
    queues=[
        configuration.Queue("short", "h", "/a/", "s"),
        configuration.Queue("long", "h", "/a/b/", "s", is_public=True),
    ],
    customers=[configuration.Customer("c", ("k1", "k2"))],
)


class TestConfiguration:
    def test_queue_with_longest_prefix_is_found(self):
        assert CONFIG.find_queue(host="h", path="/a/b/1").name == "long"
        assert CONFIG.find_queue(host="h", path="/a/1").name == "short"
        assert CONFIG.find_queue(host="x", path="/a/1").kind == "not_found"

    def test_key_identifies_its_customer(self):
        queue = CONFIG.queues["short"]
        assert CONFIG.find_customer(key="k2", queue=queue).name == "c"
        refused = CONFIG.find_customer(key="other", queue=queue)
        assert refused.kind == "unknown_key"

    def test_public_queue_needs_no_key(self):
        queue = CONFIG.queues["long"]
        assert CONFIG.find_customer(key="", queue=queue) is None
