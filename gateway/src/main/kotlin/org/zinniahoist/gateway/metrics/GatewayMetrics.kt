package org.zinniahoist.gateway.metrics

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Holds the counters, gauges and latency histograms of one process in a registry of its own. */
internal class GatewayMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requests = Histogram.builder()
        .name("zinniahoist_request_seconds")
        .help("Time from the arrival of a client's request to its outcome, in seconds, by outcome.")
        .labelNames("outcome")
        .classicOnly()
        // From a fast response of a plain service to the longest time-out of a route.
        .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
        .register(registry)

    private val events = Counter.builder()
        .name("zinniahoist_events_total")
        .help("Decisions of the process, by kind and outcome.")
        .labelNames("event", "outcome")
        .register(registry)

    private val rewards = Histogram.builder()
        .name("zinniahoist_reward_call_seconds")
        .help("Time from the start of a reward call to its end, in seconds, by outcome.")
        .labelNames("outcome")
        .classicOnly()
        .classicUpperBounds(0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)
        .register(registry)

    private val writer = PrometheusTextFormatWriter.create()

    /** Records a client request that ended with [outcome] after [latency]. */
    fun onRequest(outcome: String, latency: Duration) {
        requests.labelValues(outcome).observe(latency.toDouble(DurationUnit.SECONDS))
    }

    /** Counts an [event] with its [outcome]. Both must come from small fixed sets, to bound the label cardinality. */
    fun onEvent(event: String, outcome: String) {
        events.labelValues(event, outcome).inc()
    }

    /** Records a reward call that ended with [outcome] after [latency]. */
    fun onReward(outcome: String, latency: Duration) {
        rewards.labelValues(outcome).observe(latency.toDouble(DurationUnit.SECONDS))
    }

    /** Registers the gauge [name], whose value is read with [read] at each scrape. */
    fun gauge(name: String, help: String, read: () -> Number) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(read().toDouble()) }
            .register(registry)
    }

    /** Registers the gauge [name], whose values by the value of [label] are read with [read] at each scrape. */
    fun gauges(
        name: String,
        help: String,
        label: String,
        read: () -> Map<String, Number>,
    ) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { gauge -> read().forEach { (value, number) -> gauge.call(number.toDouble(), value) } }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val bytes = ByteArrayOutputStream()
        writer.write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    /** Returns an HTTP service that serves all metrics. */
    fun service(): HttpService =
        HttpService { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, text()) }

    /** Returns an HTTP service that serves all metrics at [PATH], and all other paths by [other]. */
    fun serviceOr(other: HttpService): HttpService {
        val own = service()
        return HttpService { context, request ->
            val service = if (request.path().substringBefore('?') == PATH) own else other
            service.serve(context, request)
        }
    }

    companion object {
        /** Path of the metrics on the readiness address of an entry and on the operator address of a core. */
        const val PATH = "/metrics"
    }
}
