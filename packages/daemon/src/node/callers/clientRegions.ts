/** Finds the region a caller belongs to by its address. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { ClientBlockTable } from '@umberspar/steering/common/lookup/clientBlocks'
import type { IncomingMessage } from 'node:http'
import { BlockList, isIP } from 'node:net'

/** Client addresses and their regions. */
export class ClientRegions {
  private readonly trusted = new BlockList()
  private table = ClientBlockTable.build([])

  /**
   * @param trustedForwarders CIDR blocks whose X-Forwarded-For is believed
   * @param ownRegion the region of callers that stand in no block
   */
  constructor (
    trustedForwarders: readonly string[],
    private readonly ownRegion: string
  ) {
    for (const block of trustedForwarders) {
      const [address, bits] = block.split('/')
      this.trusted.addSubnet(address!, Number(bits), address!.includes(':') ? 'ipv6' : 'ipv4')
    }
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
    const direct = request.socket.remoteAddress ?? ''
    const forwarded = request.headers['x-forwarded-for']
    // Anyone can write the header; believed from anyone, it would let a caller
    // choose its region and escape limits by address.
    if (forwarded === undefined || !this.isTrusted(direct)) return direct
    const last = String(forwarded).split(',').at(-1)!.trim()
    return isIP(last) === 0 ? direct : last
  }

  /**
   * @param request a caller's request
   * @returns the caller's region
   */
  find (request: IncomingMessage): string {
    return this.table.find(this.getAddress(request)) ?? this.ownRegion
  }

  private isTrusted (address: string): boolean {
    const family = isIP(address)
    return family !== 0 && this.trusted.check(address, family === 6 ? 'ipv6' : 'ipv4')
  }
}
