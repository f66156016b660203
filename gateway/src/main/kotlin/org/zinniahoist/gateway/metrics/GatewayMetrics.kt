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

/** Counters and latency histograms of one process, in a registry of its own. */
internal class GatewayMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requests = Histogram.builder()
        .name("zinniahoist_request_seconds")
        .help("Time from the arrival of a client's request to its outcome, in seconds, by outcome.")
        .labelNames("outcome")
        .classicOnly()
        // From a fast answer of a plain service to the longest time that a route allows.
        .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
        .register(registry)

    private val events = Counter.builder()
        .name("zinniahoist_events_total")
        .help("Decisions of the process, by kind and outcome.")
        .labelNames("event", "outcome")
        .register(registry)

    private val writer = PrometheusTextFormatWriter.create()

    /** Notes a request of a client that ended with [outcome] after [latency]. */
    fun onRequest(outcome: String, latency: Duration) {
        requests.labelValues(outcome).observe(latency.toDouble(DurationUnit.SECONDS))
    }

    /** Notes an [event] of the process with its [outcome]. Both come from small fixed sets. */
    fun onEvent(event: String, outcome: String) {
        events.labelValues(event, outcome).inc()
    }

    /** Shows what [read] returns at each reading as the gauge [name]. */
    fun gauge(name: String, help: String, read: () -> Number) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(read().toDouble()) }
            .register(registry)
    }

    /** Shows what [read] returns at each reading as the gauge [name], one value for each value of [label]. */
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
            .callback { shown -> read().forEach { (value, number) -> shown.call(number.toDouble(), value) } }
            .register(registry)
    }

    /** Returns all metrics in the text format of Prometheus. */
    fun text(): String {
        val bytes = ByteArrayOutputStream()
        writer.write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    /** Answers with all metrics. */
    fun service(): HttpService =
        HttpService { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, text()) }

    companion object {
        /** Path of the metrics on the address for readiness of an entry and on that for operators of a core. */
        const val PATH = "/metrics"
    }
}
