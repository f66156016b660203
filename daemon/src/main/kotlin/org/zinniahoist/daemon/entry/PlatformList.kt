package org.zinniahoist.daemon.entry

import com.linecorp.armeria.client.WebClient
import kotlinx.coroutines.future.await
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.InstanceName
import java.io.IOException

/** Reads the platform's instance list, which can lag behind the actual state. */
internal class PlatformList(endpoint: Endpoint) {
    private val client = WebClient.of("http://$endpoint")

    /** Returns the names of the live and the leaving instances, or null if the list can't be read. */
    suspend fun read(): Listed? = try {
        val response = client.get("/instances").aggregate().await()
        val instances = if (response.status().isSuccess) {
            json.decodeFromString<Body>(
                response.contentUtf8(),
            ).instances
        } else {
            null
        }
        instances?.let { all ->
            val (leaving, live) = all.partition { it.state == LEAVING }
            Listed(live.namesOf(), leaving.namesOf())
        }
    } catch (_: SerializationException) {
        null
    } catch (_: IOException) {
        null
    }

    private fun List<ListedInstance>.namesOf() = mapTo(HashSet()) { InstanceName(it.name) }

    /** Instance names by their state in the list. */
    class Listed(
        val live: Set<InstanceName>,
        val leaving: Set<InstanceName>,
    )

    @Serializable
    private class Body(val instances: List<ListedInstance>)

    @Serializable
    private class ListedInstance(
        val name: String,
        val state: String,
    )

    private companion object {
        const val LEAVING = "leaving"
        val json = Json { ignoreUnknownKeys = true }
    }
}
