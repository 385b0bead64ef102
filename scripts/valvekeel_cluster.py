"""Starts and stops a whole cluster of separate processes on loopback.

Every process binds to port 0 and announces its addresses in a file, so that runs do not collide.
Used by scripts/cluster, scripts/demo and the benches.
"""

import json
import os
import signal
import subprocess
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("VALVEKEEL_BUILD", os.path.join(ROOT, "build"))
START_SECONDS = 15.0
POLL_SECONDS = 0.02


class Process:
    """One started process and the addresses that it announced."""

    def __init__(self, name, process, addresses):
        self.name = name
        self.process = process
        self.addresses = addresses

    @property
    def pid(self):
        return self.process.pid

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self, seconds=10.0):
        """Asks for a planned stop. Returns the exit status, None if it took too long."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


def http(address, path, method="GET", body=None, seconds=5.0):
    """Sends one HTTP request and returns the decoded JSON answer."""
    url = "http://%s:%d%s" % (address["host"], address["port"], path)
    data = None
    if body is not None:
        data = json.dumps(body).encode()
    elif method != "GET":
        data = b""
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=seconds) as answer:
        return json.loads(answer.read().decode())


class Cluster:
    """A platform, database groups and daemons, each a process of its own."""

    def __init__(self, folder):
        self.folder = folder
        self.platform = None
        self.databases = {}
        self.daemons = {}
        os.makedirs(folder, exist_ok=True)

    def start(self, name, program, arguments, announce_flag):
        announce = os.path.join(self.folder, name + ".json")
        if os.path.exists(announce):
            os.remove(announce)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        command = [os.path.join(BUILD, program)] + arguments + [announce_flag % announce]
        process = subprocess.Popen(command, stdout=log, stderr=log, start_new_session=True)
        log.close()
        deadline = time.monotonic() + START_SECONDS
        while not os.path.exists(announce):
            if process.poll() is not None:
                raise RuntimeError("%s ended with %s; see %s.log" % (name, process.returncode, name))
            if time.monotonic() > deadline:
                process.kill()
                raise RuntimeError("%s did not start in time" % name)
            time.sleep(POLL_SECONDS)
        with open(announce) as file:
            return Process(name, process, json.load(file))

    def start_platform(self):
        self.platform = self.start("platform", "standin-platform", [], "--announce=%s")

    def start_database(self, name, zones, connections, slots, opening_ms, replay_lag_ms,
                       service_us=500, election_ms=500):
        arguments = [
            "--name=" + name,
            "--instances=%d" % len(zones),
            "--connections=%d" % connections,
            "--slots=%d" % slots,
            "--opening_ms=%d" % opening_ms,
            "--service_us=%d" % service_us,
            "--election_ms=%d" % election_ms,
            "--replay_lag_ms=" + ",".join(str(lag) for lag in replay_lag_ms),
        ]
        database = self.start(name, "standin-database", arguments, "--announce=%s")
        self.databases[name] = database
        instances = []
        for index, zone in enumerate(zones):
            address = database.addresses["instances"][index]
            instances.append({
                "id": str(index), "zone": zone, "host": address["host"], "port": address["port"],
                "connections": connections, "slots": slots,
            })
        self.put("databases", name, {"instances": instances})

    def put(self, kind, name, spec):
        """Declares an object on the platform, replacing an earlier one."""
        path = "/apis/valvekeel/v1/%s/%s" % (kind, name)
        metadata = {"name": name}
        try:
            metadata = http(self.platform.addresses, path)["metadata"]
        except urllib.error.HTTPError as error:
            if error.code != 404:
                raise
        http(self.platform.addresses, path, "PUT", {"metadata": metadata, "spec": spec})

    def start_daemon(self, name, zone, settings=None):
        seeds = ['"%s:%d"' % (d.addresses["host"], d.addresses["peer_port"])
                 for d in self.daemons.values() if d.process.poll() is None]
        settings = dict(settings or {})
        if name in self.daemons:
            # A daemon that starts again keeps its address for callers.
            settings["daemon.caller_port"] = self.daemons[name].addresses["caller_port"]
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as file:
            file.write('[daemon]\nid = "%s"\nzone = "%s"\n' % (name, zone))
            file.write('platform = "%s:%d"\n' % (self.platform.addresses["host"],
                                                self.platform.addresses["port"]))
            file.write("seeds = [%s]\n" % ", ".join(seeds))
        overrides = ["%s=%s" % item for item in settings.items()]
        announce = "--set=" + ",".join(overrides + ["daemon.announce=%s"])
        self.daemons[name] = self.start(name, "valvekeeld", ["--config=" + path], announce)
        return self.daemons[name]

    def daemon_status(self, name):
        addresses = self.daemons[name].addresses
        return http({"host": addresses["host"], "port": addresses["http_port"]}, "/status")

    def fault(self, database, instance, action):
        http(self.databases[database].addresses["control"],
             "/instances/%d/%s" % (instance, action), "POST")

    def database_status(self, database):
        return http(self.databases[database].addresses["control"], "/status")

    def wait_ready(self, seconds=START_SECONDS):
        """Waits until every daemon knows all daemons and a primary of every database."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(self.ready(name) for name in self.daemons):
                return
            time.sleep(POLL_SECONDS)
        raise RuntimeError("the cluster did not become ready in time")

    def ready(self, name):
        status = self.daemon_status(name)
        alive = [m for m in status["members"] if m["state"] == "alive"]
        primaries = [d for d in status["databases"] if d["primary"]]
        return (len(alive) == len(self.daemons) and len(primaries) == len(self.databases)
                and len(status["share_groups"]) > 0)

    def addresses(self):
        return ["%s:%d" % (d.addresses["host"], d.addresses["caller_port"])
                for d in self.daemons.values()]

    def processes(self):
        everything = list(self.daemons.values()) + list(self.databases.values())
        return everything + ([self.platform] if self.platform else [])

    def stop(self):
        for process in self.processes():
            if process.process.poll() is None:
                process.process.send_signal(signal.SIGKILL)
        for process in self.processes():
            process.process.wait()


def start_demo_cluster(folder, settings=None):
    """One platform, two database groups of three instances, three daemons in three zones."""
    zones = ["zone-a", "zone-b", "zone-c"]
    cluster = Cluster(folder)
    try:
        cluster.start_platform()
        for name in ("ledger", "archive"):
            cluster.start_database(name, zones, connections=35, slots=5, opening_ms=10,
                                   replay_lag_ms=[2, 20, 40])
        cluster.put("sharegroups", "alpha", {"share": 3, "databases": ["ledger", "archive"]})
        cluster.put("sharegroups", "beta", {"share": 1, "databases": ["ledger", "archive"]})
        for index, zone in enumerate(zones):
            cluster.start_daemon("daemon-%d" % (index + 1), zone, settings)
        cluster.wait_ready()
    except BaseException:
        cluster.stop()
        raise
    return cluster
