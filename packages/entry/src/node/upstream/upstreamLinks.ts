/** Observes whether this VM reaches the workers of each service, and acts when that changes. */
import { Emitter, type Event } from '@umberspar/base/common/event'
import type { IClosable } from '@umberspar/base/common/closing'
import { LinkState, WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import { OpenAttempts } from '../front/openAttempts.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { LinkProber, type LinkProberOptions } from './linkProber.js'

/** What the links are built from. */
export interface UpstreamLinksOptions extends Omit<LinkProberOptions, 'links'> {
  readonly telemetry: EntryTelemetry
}

/** The links of this VM to all workers. */
export class UpstreamLinks implements IClosable {
  readonly links: WorkerLinks
  readonly openAttempts = new OpenAttempts()
  private readonly prober: LinkProber
  private readonly changeEmitter = new Emitter<string>()
  /** Fires with the service that has been disconnected or connected again. */
  readonly onDidChange: Event<string> = this.changeEmitter.event

  /** @param options what they are built from */
  constructor (private readonly options: UpstreamLinksOptions) {
    this.links = new WorkerLinks((service) => options.view.getPool(service).countAvailable(), (service, state) => { this.handleChange(service, state) }, (service, workers) => { this.prober.checkWorkers(service, workers) })
    this.prober = new LinkProber({ ...options, links: this.links })
  }

  /** Starts to probe services that are silent or can't be reached. */
  start (): void {
    this.prober.start()
  }

  close (): void {
    this.prober.close()
    this.changeEmitter.close()
  }

  private handleChange (service: string, state: LinkState): void {
    const { telemetry, clock } = this.options
    telemetry.logLinkState(service, state)
    this.changeEmitter.fire(service)
    if (state === LinkState.Connected) return
    if (!this.links.isResponding(service, clock.now())) this.openAttempts.cancelSilent(service)
    // The VM may have lost all of its links.
    this.prober.checkOthers()
  }
}
