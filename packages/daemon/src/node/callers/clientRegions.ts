/** Finds the region a caller belongs to by its address. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { ClientBlockTable } from '@umberspar/steering/common/lookup/clientBlocks'
import type { IncomingMessage } from 'node:http'
import { toPlainAddress, TrustedForwarders } from './forwardedFor.js'

/** Client addresses and their regions. */
export class ClientRegions {
  private readonly trusted: TrustedForwarders
  private table = ClientBlockTable.build([])

  /**
   * @param trustedForwarders CIDR blocks whose X-Forwarded-For is believed
   * @param ownRegion the region of callers that stand in no block
   */
  constructor (
    trustedForwarders: readonly string[],
    private readonly ownRegion: string
  ) {
    this.trusted = new TrustedForwarders(trustedForwarders)
  }

  /**
   * Takes over the client blocks of a configuration.
   * @param configuration the configuration in force
   */
  update (configuration: SteeringConfiguration): void {
    const blocks = Object.entries(configuration.regions).flatMap(([group, region]) =>
      region.clientBlocks.map((prefix) => ({ prefix, group })))
    this.table = ClientBlockTable.build(blocks)
  }

  /**
   * @param request a caller's request
   * @returns the caller's address
   */
  getAddress (request: IncomingMessage): string {
    return this.trusted.findClient(request.socket.remoteAddress ?? '', getForwarded(request))
  }

  /**
   * @param request a caller's request
   * @returns X-Forwarded-For as the upstream is to see it
   */
  buildForwardedFor (request: IncomingMessage): string {
    return this.trusted.buildHeader(request.socket.remoteAddress ?? '', getForwarded(request))
  }

  /**
   * @param address of a socket
   * @returns whether it is a configured forwarder, which carries many clients
   */
  isForwarder (address: string): boolean {
    return this.trusted.has(toPlainAddress(address))
  }

  /**
   * @param request a caller's request
   * @returns the caller's region
   */
  find (request: IncomingMessage): string {
    return this.table.find(this.getAddress(request)) ?? this.ownRegion
  }
}

function getForwarded (request: IncomingMessage): string | undefined {
  const value = request.headers['x-forwarded-for']
  return Array.isArray(value) ? value.join(', ') : value
}
